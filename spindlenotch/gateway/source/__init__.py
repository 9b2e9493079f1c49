"""
How a gateway follows its source: configuration, upstreams, orders of the operator.

One gateway of each zone reads the source; the others get the same from it. What was
read is decoded by a driver and put into the gateway's state.
"""
