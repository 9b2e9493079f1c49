"""
Role of a gateway in the fleet: who is active, who probes, who sends which reports.

Membership itself is kept by ``peers``. Roles are computed from it without further
messages: gateways with equal views assign equal roles.
"""
