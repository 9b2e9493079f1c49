"""
The gateway: a load balancer process on each entry host, for unmodified HTTP clients.

Callers query the directory of any gateway for the addresses to use and send plain
HTTP requests there. A gateway matches the route, selects an upstream with the same
kernel as the entry daemon, forwards the request and relays the response. Its state
comes from a source of configuration and upstreams, from its peers and from the
upstreams' responses; nothing is stored on the host.
"""
