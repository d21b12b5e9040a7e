"""Deterministic decisions: events and a time in, typed commands out.

Nothing in this package performs I/O, reads a clock, logs or draws a random
number from anything but a seeded generator that is handed in.
"""
