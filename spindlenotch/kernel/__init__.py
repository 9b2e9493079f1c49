"""
The kernel: the state of upstreams and services, and the pure rules over it.

Performs no I/O and reads no clock; the caller passes in the current instant.
"""
