"""The engines' side: the RESP codec, the connections to each engine and the pages of a result."""
