"""Membership: the known instances, the links between them and gossip."""
