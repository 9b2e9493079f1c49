"""
What members of one fleet exchange: membership, documents, codecs, transport.

``gossip`` joins membership, probing and drain notices into messages; ``documents``
holds what all members must agree on; ``peer_link`` carries both. Members are the
entry daemons of a deployment, or the gateways of a fleet. Imports nothing, so
that each daemon loads only the codec that it uses.
"""
