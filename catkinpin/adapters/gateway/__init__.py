"""How a gateway serves a request: route, server, exchange, answer."""
