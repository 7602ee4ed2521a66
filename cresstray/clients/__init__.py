"""The clients' side: the JSON-RPC codec and the connections that speak it."""
