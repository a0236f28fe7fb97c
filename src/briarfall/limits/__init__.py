"""Limits, admission, retries and circuit breaking."""
