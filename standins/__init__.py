"""
Small stand-ins for what the platform gives: store, host list, upstreams.

Used by the tests and by the demo. They are no part of the product and keep
everything in memory; each can be told to misbehave.
"""
