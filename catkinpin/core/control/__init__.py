"""Control state of raw routes: routes, accounts, servers, stores and turns."""
