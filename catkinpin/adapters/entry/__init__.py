"""The entry process: HTTP for callers and operators, and dispatch."""
