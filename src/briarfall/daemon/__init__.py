"""An instance's HTTP listeners, request handlers and lifecycle."""
