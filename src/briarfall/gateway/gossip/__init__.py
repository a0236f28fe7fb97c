"""Exchanges statuses with the other instances."""
