"""Operators' configuration changes and plans, leases and engine orders."""
