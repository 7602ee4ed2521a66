"""Configuration that all gateways of a fleet share: documents, changes, leases and the rules in effect.

A change of the documents takes effect in two steps, as in joint consensus. Each step is a numbered turn.
At an odd turn a change is joint: the strictest of the old and the new documents applies. At an even turn the
new documents are in force. A gateway acts on the documents of the turn for which it holds a lease.
"""
