"""
Service discovery and configuration: how a gateway follows its source.

The source holds the configuration, the upstreams and the operator's orders. One gateway
of each zone reads it and distributes what it read to the others. A driver decodes what
was read, which is then applied to the gateway's state.
"""
