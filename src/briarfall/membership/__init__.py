"""Instances, their links, gossip and leases."""
