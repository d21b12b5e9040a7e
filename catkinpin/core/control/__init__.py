"""Control state of raw routes: routes, servers, stores, ledger of turns."""
