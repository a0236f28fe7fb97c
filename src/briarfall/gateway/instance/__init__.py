"""Builds the process of an instance and tells about it."""
