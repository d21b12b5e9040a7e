"""A scheduler for agent programs on backend servers that may be withdrawn."""

__version__ = "0.1.0"
