"""Naive variants that tests and experiments compare with."""
