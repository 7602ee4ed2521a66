"""Adapter between the policy and the wire of the simulator."""
