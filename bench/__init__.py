"""Measurements of the decisions and of what each role costs."""
