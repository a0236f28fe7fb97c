"""The other instances, and the choice among them."""
