"""A scheduler for agent programs on backend servers that may be withdrawn."""

# Imported first because it records the start time of the process.
from catkinpin import startup as startup

__version__ = "0.1.0"
