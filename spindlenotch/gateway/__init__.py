"""
The gateway: one process on each entry host, for callers that run nothing of ours.

Callers ask any gateway which addresses to use and send plain requests there.
A gateway finds the route, picks the upstream by the kernel that the entry
daemon uses too, and answers. Everything it believes comes from a source of
configuration and upstreams, from its peers and from the upstreams' answers;
nothing is kept on the host.
"""
