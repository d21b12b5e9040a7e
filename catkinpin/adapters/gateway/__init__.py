"""The gateway: forwards the requests of callers to backend servers."""
