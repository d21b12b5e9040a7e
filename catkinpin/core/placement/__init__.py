"""Choice of a server: load, speed, urgency, ejection, scheduling."""
