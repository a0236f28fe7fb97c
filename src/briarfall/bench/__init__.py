"""Workloads, hardware bounds and reports."""
