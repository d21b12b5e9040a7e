"""Streams of messages between our own processes."""
