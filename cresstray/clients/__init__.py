"""The clients' side: the JSON-RPC codec, the sessions of connected clients and the socket they connect to."""
