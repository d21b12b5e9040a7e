"""The store process: bytes of turns."""
