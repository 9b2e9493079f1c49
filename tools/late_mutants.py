"""
The mutants of what arrives late, or nowhere: unread copies, silence, lost tries.

Part of the table of ``mutant_table``; ``tools/mutants.py`` tries them.
"""

from tools import mutant_table

MUTANTS = (
    mutant_table.Mutant(
        "a repeat that may yet arrive does not count",
        "kernel/budgets",
        "return len(self.settled_at) + self.unsettled",
        "return len(self.settled_at)",
        "a repeat has arrived when all copies but one were read",
    ),
    mutant_table.Mutant(
        "any part of the budget may be unsettled",
        "kernel/budgets",
        "self.unsettled + 1 <= self._max_unsettled",
        "True",
        "a fleet's retries keep to it where they arrive late",
    ),
    mutant_table.Mutant(
        "a repeat has arrived when one copy was read",
        "kernel/copy_tracker",
        "return min(self.sent - 1, self.unread)",
        "return min(self.sent - 1, self.unread) * (self.unread == self.sent)",
        "a repeat has arrived when all copies but one were read",
    ),
    mutant_table.Mutant(
        "a try that is broken off leaves no silence",
        "kernel/hearing",
        "self._cancelled_wait_s = self._decayed_wait_s(now) + self._waited_s(now)",
        "self._cancelled_wait_s = 0.0",
        "what stands still is found out by tries that break off",
    ),
    mutant_table.Mutant(
        "an upstream that owed an answer is never tried again",
        "kernel/hearing",
        "latency.decay(\n"
        "            now - self._cancelled_wait_at, CANCELLED_WAIT_DECAY_S\n        )",
        "1.0",
        "what went on again is used again",
    ),
    mutant_table.Mutant(
        "what was ejected as silent is tried though probes miss it",
        "kernel/upstreams",
        "if self._awaits_report and self._is_still_silent(now):",
        "if False:",
        "what was ejected as silent waits until a probe tells of it",
    ),
    mutant_table.Mutant(
        "a cold upstream gets more while what it got lies unread",
        "kernel/shared_rate",
        "if self._count_in_window(now, read_until) <= max_count:",
        "if True:",
        "a cold upstream that stands still reads what it bears",
    ),
    mutant_table.Mutant(
        "a try that reached nobody uses up one of a call's tries",
        "decisions/retrying",
        "self.sent - min(self.unreached, MAX_UNREACHED)",
        "self.sent",
        "a try that reached nobody leaves a call its tries",
    ),
    mutant_table.Mutant(
        "what a draining upstream turned away takes from an entry's budget",
        "decisions/balancer",
        "if known_not_run and drains and not self.extra.charges_drain_retries:",
        "if False:",
        "what a draining upstream turned away moves beside the budget",
    ),
    mutant_table.Mutant(
        "an upstream that has long been silent counts as one that nobody probes",
        "kernel/hearing",
        "return self.probed_at >= self._unanswered_since - PROBED_WITHIN_S",
        "return self.probed_at >= self._unanswered_since - MAX_REPORT_INTERVAL_S",
        "so does one that is sent to long after probes miss it",
    ),
)
