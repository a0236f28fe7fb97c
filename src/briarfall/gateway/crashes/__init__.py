"""Which requests crash targets."""
