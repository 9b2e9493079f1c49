"""
Requests that end the upstreams that run them, over a fleet of gateways.

What one gateway learns of such a request the others have to know at once, and a fleet
that starts anew as well: notes go between gateways, and what is quarantined lies in the
source. What is decided lies in ``decisions.quarantine``.
"""
