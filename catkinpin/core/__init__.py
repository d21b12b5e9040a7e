"""Deterministic core: takes events and the time, returns typed commands.

Nothing in this package performs I/O, reads a clock or logs. Random numbers
come only from a seeded generator that the caller passes.
"""
