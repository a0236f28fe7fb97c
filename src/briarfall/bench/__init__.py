"""Demos and benchmarks: workloads, theoretical bounds and reports."""
