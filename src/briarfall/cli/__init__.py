"""The `briarfall` command line."""
