"""Small stand-ins of the outside world, each a process of its own."""
