"""
Broken mechanisms of requests that end upstreams, and of suspended hosts.

See ``mutant_table``, which has the others.
"""

from tools import mutant_table

MUTANTS = (
    mutant_table.Mutant(
        "upstreams that end together quarantine a request",
        "decisions/quarantine",
        "record.depth >= MIN_CRASH_DEPTH",
        "record.depth >= 1",
        held_by="upstreams that end together quarantine no request",
    ),
    mutant_table.Mutant(
        "a request that ends upstreams is tried by every gateway again",
        "decisions/quarantine",
        "self.merge(msgspec.structs.replace(record, is_retried=True), now)",
        "self._recheck_at[fingerprint] = ids.later(now, RECHECK_AFTER_S)",
        held_by="a fleet sends what ends upstreams at most three times more",
    ),
    mutant_table.Mutant(
        "an answer leaves a request suspect",
        "decisions/quarantine",
        "crash_records.CrashRecord(fingerprint, record.round + 1)",
        "crash_records.CrashRecord(fingerprint, record.round)",
        held_by="an answer clears a request, and older notes are no news",
    ),
    mutant_table.Mutant(
        "timers stay where they are after a suspension",
        "gateway/deadlines",
        "            timeout.reschedule(self._loop_time(deadline))\n",
        "            pass\n",
        held_by="a deadline holds on a host that was suspended",
    ),
)
