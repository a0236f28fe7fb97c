"""The catalogue: its entries, their edits and the state built from them."""
