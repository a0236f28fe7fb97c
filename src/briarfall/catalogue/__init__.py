"""The catalogue: records, fold, edits and views."""
