"""Small stand-ins for the outside systems, with faults."""
