"""Adapter between the policy and the wire protocol of the simulator."""
