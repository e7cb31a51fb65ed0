"""Limits of the platform, for documents and for requests."""

# Maximum size of a stored value that the platform accepts.
VALUE_LIMIT_BYTES = 1_000_000
