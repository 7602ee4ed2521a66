"""Connections to engines: the RESP codec, the connection pools and the pages of a result."""
