"""
The decision logic: upstream selection, queueing, refusals, retries and hedges.

Performs no I/O and reads no clock, like ``spindlenotch.kernel``, whose state it uses;
the selection policies register themselves in ``spindlenotch.selection``.
"""
