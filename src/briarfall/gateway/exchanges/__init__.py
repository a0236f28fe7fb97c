"""One HTTP exchange with a target."""
