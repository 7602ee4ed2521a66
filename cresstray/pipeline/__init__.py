"""The stages that a request passes through in the gateway.

Stages call each other in this order: `ingress` (validates the query), `admission` (hands the request to the
policy, which decides from then on), `routing` (finds the connection pool of the chosen engine), `dispatch`
(sends an attempt to the engine) or `forwarding` (sends it to another site), `response` (turns the answers
into the outcome of the attempt) and `accounting` (sends the request's only answer, and counts).
`policy_port` carries the policy's decisions to the stages. `idempotency_checks` and `replica_reads` are
optional: the stages call them where the operator's configuration file enables them.
"""
