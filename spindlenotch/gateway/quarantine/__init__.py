"""
Quarantine of requests that crash the upstreams that run them, across the fleet.

All other gateways, and a fleet that is started anew, must learn of such a request at
once: gateways exchange crash records, and quarantined requests are stored in the
source. The rules are in ``decisions.quarantine``.
"""
