"""What is known of each target."""
