"""Takes a request to a target or a peer, and the response back."""
