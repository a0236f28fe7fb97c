"""Accepts connections of callers, reads requests and ends them."""
