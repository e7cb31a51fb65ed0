"""Limits of the platform that documents and calls share."""

# Largest value that the platform takes, in bytes.
VALUE_LIMIT_BYTES = 1_000_000
