"""
Drivers of the ports in ``spindlenotch.ports``; all of them speak HTTP.
"""
