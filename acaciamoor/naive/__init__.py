"""Naive variants, used as baselines by differential tests and the bench."""
