"""Commands of the command line, and helpers that they share."""
