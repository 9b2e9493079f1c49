"""
Mutants of the handling of gateways that reach no upstream.

Part of the table of ``mutant_table``; ``tools/mutants.py`` tries them.
"""

from tools import mutant_table

MUTANTS = (
    mutant_table.Mutant(
        "isolated gateways stay in the directory",
        "gateway/cluster/fleet",
        "            if record.host not in isolated\n",
        "            if True\n",
        "callers are not told of a gateway without upstreams",
    ),
    mutant_table.Mutant(
        "the directory is empty where all gateways are isolated",
        "gateway/cluster/fleet",
        "if len(isolated) == len(ready):",
        "if False:",
        "callers are told of some where none reaches an upstream",
    ),
    mutant_table.Mutant(
        "isolated gateways probe for others",
        "gateway/cluster/fleet",
        "            if record.host not in self.isolated\n",
        "            if True\n",
        "a gateway without upstreams probes none for others",
    ),
    mutant_table.Mutant(
        "a response does not clear the failures before it",
        "kernel/reachability",
        "        self._all.heard_at = now\n        self._lost.clear()\n",
        "        self._all.heard_at = now\n",
        "failures of several upstreams call for a check of links",
    ),
    mutant_table.Mutant(
        "silence is suspect while no response is due",
        "kernel/reachability",
        "return self.in_flight > 0 and (",
        "return (",
        "silence calls for a check only while a response is due",
    ),
    mutant_table.Mutant(
        "responses over reused connections clear failed connects",
        "kernel/reachability",
        "        self._lost.clear()\n        if new_connection:\n",
        "        self._lost.clear()\n        self._unconnected.clear()\n"
        "        if new_connection:\n",
        "open connections do not hide that new ones are refused",
    ),
    mutant_table.Mutant(
        "a check succeeds although nothing accepts a connection",
        "kernel/reachability",
        "if self.heard_at < began_at or not can_connect:",
        "if self.heard_at < began_at:",
        "open connections do not hide that new ones are refused",
    ),
    mutant_table.Mutant(
        "silence over new connections is not noticed",
        "kernel/reachability",
        "exchanges = (self._all, self._over_new_connections)",
        "exchanges = (self._all,)",
        "open connections do not hide that new ones hang",
    ),
    mutant_table.Mutant(
        "a check probes any upstreams",
        "gateway/cluster/isolation",
        "                    -one[1].liveness.heard_at,\n",
        "",
        "a check of links does not rely on crashed upstreams",
    ),
    mutant_table.Mutant(
        "trials at other gateways come at a steady rate",
        "kernel/target_trials",
        "min(MAX_INTERVAL_S, 2 * self._interval_s)",
        "MIN_INTERVAL_S",
        "few requests are handed over while nobody serves them",
    ),
    mutant_table.Mutant(
        "a gateway that has failed counts as serving",
        "kernel/target_trials",
        "        self._serving.discard(target)\n",
        "",
        "a gateway that serves is used until it fails",
    ),
    mutant_table.Mutant(
        "one good check ends an isolation",
        "kernel/reachability",
        "        self.is_isolated = self._good_checks < CHECKS_TO_RECOVER\n",
        "        self.is_isolated = False\n",
        "links that come and go end an isolation late",
    ),
)
