"""Which engine holds which layers, and chains over them."""
