"""Naive baselines for differential tests and benchmarks."""
