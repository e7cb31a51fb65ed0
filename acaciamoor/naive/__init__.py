"""Naive baselines, used by differential tests and the bench."""
