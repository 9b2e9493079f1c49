"""
Request handling of a gateway, from the request head to the final response.

Reads the gateway's state and hands jobs to ``forwarding``. Depends neither on the
source of the configuration nor on the other gateways.
"""
