"""Requests, answers and event streams, independent of their transport."""
