"""Programs and their calls: the state machine of a shard, and its leader."""
