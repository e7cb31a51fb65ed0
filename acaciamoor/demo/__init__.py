"""A site on loopback, from nothing, with faults while it serves."""
