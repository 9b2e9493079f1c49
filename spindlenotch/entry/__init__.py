"""
The entry daemon, for callers that use the library ``spindlenotch.client``.
"""
