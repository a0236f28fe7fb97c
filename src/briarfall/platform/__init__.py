"""Adapters for the platform's store, engines and settings file.

The modules translate wire names and formats; routing decisions are made in
`briarfall.gateway`.
"""
