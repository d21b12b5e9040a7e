"""A scheduler for agent programs on backend servers that may be withdrawn."""

# Loaded first: it notes when the process began.
from catkinpin import clock as clock

__version__ = "0.1.0"
