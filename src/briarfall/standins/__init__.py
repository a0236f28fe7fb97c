"""Stand-ins for the outside systems, with injectable faults."""
