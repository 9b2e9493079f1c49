"""
Spindlenotch: a load balancer for servers whose load shifts in milliseconds.

The package is flat. The modules form layers, lowest first: vocabulary
(``ids``, ``outcomes``), the kernel (decisions and state; no input, output or
wall clock), ports and drivers, the daemons, and the command line. The order
is checked in CI; see ``docs/DESIGN.md``.
"""

__version__ = "0.1.0"
