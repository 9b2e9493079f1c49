"""
The kernel: the state of upstreams and services, and the pure rules over it.

Nothing here does I/O or reads a clock; the caller passes in the current instant.
"""
