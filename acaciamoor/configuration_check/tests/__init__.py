"""Tests of the checks of a configuration file."""
