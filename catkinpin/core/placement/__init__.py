"""Server selection: load, speed, urgency, ejection and scheduling."""
