"""Adapters to external systems, each behind an abstract class."""
