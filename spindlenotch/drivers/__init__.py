"""
Drivers of the ports in ``spindlenotch.ports``; all of them speak HTTP.

Each registers itself when it is imported. ``http_client`` makes their
sessions, ``upstream_dialect`` knows what upstreams' answers mean.
"""
