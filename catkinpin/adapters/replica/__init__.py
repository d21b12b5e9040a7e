"""The replica process, and the nodes that run its log groups."""
