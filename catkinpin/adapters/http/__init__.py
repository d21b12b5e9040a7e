"""HTTP/1.1 with bytes unchanged, on the parser of `httptools`."""
