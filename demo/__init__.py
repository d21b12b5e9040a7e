"""Demonstration that `make demo` runs."""
