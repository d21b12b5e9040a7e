"""Configuration, plans, leases and orders of the operators."""
