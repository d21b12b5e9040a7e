"""Programs and their calls: a shard's state machine and its leader."""
