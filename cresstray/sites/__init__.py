"""Forwarding between sites: when to forward a request, the state of each forwarded request, and the links."""
