"""Command-line client of the operator API, ``acaciamoorctl``."""
