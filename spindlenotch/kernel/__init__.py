"""
The kernel: what is known of each upstream and service, and pure rules on it.

No input or output and no clock here; every method takes the instant.
"""
