"""The store process, which stores the bytes of turns."""
