"""What all gateways of a fleet agree on: documents, turns, leases, and the answer to: what may I use now?"""
