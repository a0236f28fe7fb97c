"""One request and what it carries."""
