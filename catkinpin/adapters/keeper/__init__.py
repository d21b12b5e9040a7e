"""The keeper process: the control group, its requests and publications."""
