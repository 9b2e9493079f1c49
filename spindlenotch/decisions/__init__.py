"""
The decision logic: upstream selection, queueing, refusals, retries and hedges.

Pure like ``spindlenotch.kernel``, whose state it uses; the selection policies register
themselves in ``spindlenotch.selection``.
"""
