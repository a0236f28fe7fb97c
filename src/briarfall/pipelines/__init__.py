"""Routes over layer ranges and the streams on them."""
