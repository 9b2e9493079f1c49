"""
Drivers of the ports in ``spindlenotch.ports``; all of them speak HTTP.

Each registers itself when it is imported. ``http_client`` creates their sessions,
``upstream_dialect`` interprets the responses of upstreams.
"""
