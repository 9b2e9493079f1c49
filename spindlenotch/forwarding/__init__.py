"""
Forwards requests to upstreams: attempts, retries, hedging and crash detection.
"""
