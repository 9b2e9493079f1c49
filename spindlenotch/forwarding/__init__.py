"""
Carrying out one request: tries at upstreams over a port, under the kernel.
"""
