"""Adapters: HTTP, streams and disk around the deterministic core."""
