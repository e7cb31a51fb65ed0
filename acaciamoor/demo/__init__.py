"""Demo of a complete site on loopback, with faults injected under load."""
