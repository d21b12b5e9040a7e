"""The keeper process: the control group and what it publishes."""
