"""The entry process: callers and operators over HTTP, dispatch."""
