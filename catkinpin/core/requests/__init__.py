"""Requests, answers and event streams as the core sees them."""
