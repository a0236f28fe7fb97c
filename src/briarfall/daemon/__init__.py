"""Listeners and lifecycle of one instance."""
