"""Permits for targets that name a rate limit."""
