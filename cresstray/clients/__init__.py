"""Connections of clients: the JSON-RPC codec, the session of each connected client, and the listener."""
