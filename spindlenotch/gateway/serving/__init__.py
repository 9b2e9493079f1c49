"""
How a gateway serves callers: from a request's head to its final answer.

Reads the gateway's state and passes work to ``forwarding``; knows neither the source
of the configuration nor the other gateways.
"""
