"""Stand-ins of the prepared platform: store, engines and services."""
