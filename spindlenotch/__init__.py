"""
Spindlenotch: a load balancer for servers whose load shifts in milliseconds.

Packages, lowest layer first: ``kernel`` and ``decisions`` (state and rules; no
input, output or clock), ``bundles``, ``peers``, ``drivers``, ``forwarding``, the
two daemons ``entry`` and ``gateway``, and ``cli``. The loose modules are shared
vocabulary and what other programs import. The order is checked in CI; see
``docs/DESIGN.md``.
"""

__version__ = "0.1.0"
