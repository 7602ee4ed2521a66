"""The engines' side: the RESP codec, the links to each engine and the pages of a result."""
