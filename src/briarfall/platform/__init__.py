"""Names, formats and calls of the prepared platform; nothing that decides."""
