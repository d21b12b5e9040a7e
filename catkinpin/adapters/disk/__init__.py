"""Files: the log, its segments and snapshots, bytes of turns."""
