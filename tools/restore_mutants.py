"""
Mutants of the handling of a source that is restored from a backup.

Part of the table of ``mutant_table``; ``tools/mutants.py`` tries them.
"""

from tools import mutant_table

MUTANTS = (
    mutant_table.Mutant(
        "lists are ordered by version alone",
        "peers/documents",
        "return offered.position > held.position",
        "return offered.version > held.version",
        "peers accept the list of a restored source",
    ),
    mutant_table.Mutant(
        "a reader continues from its old revision after a restore",
        "gateway/source/source_reader",
        "if changes.era != self.era:",
        "if False:",
        "a reader reads everything again after a restore",
    ),
    mutant_table.Mutant(
        "withdrawn upstreams are used after a restore",
        "gateway/source/withdrawals",
        "return now < self.withheld_until and start_of(listed) in self.withheld_starts",
        "return False",
        "withdrawn upstreams stay out of use after a restore",
    ),
    mutant_table.Mutant(
        "withheld upstreams are never released",
        "gateway/source/withdrawals",
        "        if self._is_released or now < self.withheld_until:\n",
        "        if True:\n",
        "withdrawn upstreams stay out of use after a restore",
    ),
    mutant_table.Mutant(
        "an order rewritten after a restore starts a new run",
        "gateway/rollout/orders",
        "    return compared == known\n",
        "    return False\n",
        "an order rewritten after a restore keeps its run",
    ),
    mutant_table.Mutant(
        "a final status lost in a restore is not rewritten",
        "gateway/rollout/registry",
        "        if run.final is None:\n            return False\n",
        "        if True:\n            return False\n",
        "an order rewritten after a restore keeps its run",
    ),
    mutant_table.Mutant(
        "an evacuation missing from a backup ends at the restore",
        "gateway/source/listing",
        "        self.evacuate(zones | self._retained_zones, now)\n",
        "        self.evacuate(zones, now)\n",
        "an evacuation missing from a backup is kept temporarily",
    ),
    mutant_table.Mutant(
        "a discovery record lost in a restore counts as present",
        "gateway/state",
        "        self.discovery_record_by_zone.clear()\n",
        "",
        "a discovery record lost in a restore is rewritten",
    ),
)
