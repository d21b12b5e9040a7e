"""Adapters that connect the deterministic core to HTTP, streams and disks."""
