"""Brings engines to their desired state with commands sent under leases."""
