"""
The whole system in one process: both sample deployments, traffic and faults.
"""
