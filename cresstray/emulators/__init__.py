"""Stand-ins for what a gateway talks to, written from the protocols' pages, and an account of what they saw.

Small, on loopback, and scripted: engines, a coordinator, clients with a load, the network between two halls.
"""
