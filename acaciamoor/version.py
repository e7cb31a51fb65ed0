"""Version of the project."""

__version__ = '0.1.0'
