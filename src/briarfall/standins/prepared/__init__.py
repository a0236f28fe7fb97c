"""Stand-ins of the prepared platform: store, engines, plain services."""
