"""The way of a request through the gateway.

Stages call each other in this order: `ingress` (validation), `admission` (the policy decides from here on),
`routing` (an engine becomes its connections), `dispatch` (an attempt is sent) or `forwarding` (it is sent to
another site), `response` (answers become one outcome of an attempt) and `accounting` (the one answer that a
request gets, and the counters). `policy_port` is the way back from the policy's decisions to the stages.
"""
