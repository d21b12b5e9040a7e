"""Adapters: HTTP, gRPC and disk around the deterministic core."""
