"""
The decisions of the kernel: which upstream, wait, refuse, retry, hedge.

Pure like ``spindlenotch.kernel``, on whose state they rest; the policies register
themselves in ``spindlenotch.selection``.
"""
