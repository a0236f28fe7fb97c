"""Edges to outside systems, one abstract class each."""
