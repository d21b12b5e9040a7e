"""Files on disk: the log, snapshots, and the bytes of turns."""
