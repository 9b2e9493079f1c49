"""
What processes of one fleet exchange: membership, documents, codecs, transport.
"""
