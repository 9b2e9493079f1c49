"""
Small stand-ins for the key-value service, the host list and upstreams.

Used by the features, the demo and ``tools/measure_path``; no part of the
product. Each listens on loopback, keeps everything in memory and shows faults
on request: by attribute within a process, by ``POST`` of JSON to ``/control``
(upstreams: ``/-/control``) between processes.
"""
