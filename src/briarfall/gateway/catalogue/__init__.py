"""The catalogue in force and its sources."""
