"""An HTTP/1.1 client and server that pass bytes on unchanged.

Both use the parser of `httptools`.
"""
