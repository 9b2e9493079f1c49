"""
The protocol between the members of one fleet: messages, codecs and transport.

``gossip`` combines membership, probing and drain notices into messages;
``documents`` defines the versioned documents on which all members must agree;
``peer_link`` transports both. Members are the entry daemons of a deployment, or the
gateways of a fleet. Imports nothing, so that each daemon loads only the codec that
it uses.
"""
