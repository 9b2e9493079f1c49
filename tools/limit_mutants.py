"""
The mutants of what upstreams say of how much they will take.

Part of the table of ``mutant_table``; ``tools/mutants.py`` tries them.
"""

from tools import mutant_table

KEPT = "upstreams get the limits that they name, and no more"

MUTANTS = (
    mutant_table.Mutant(
        "each gateway sends all that an upstream takes",
        "kernel/named_limit",
        "self._pacer.set_part(per_s / len(holders),",
        "self._pacer.set_part(per_s,",
        KEPT,
    ),
    mutant_table.Mutant(
        "a limit that sinks does not count what was sent before",
        "kernel/shared_rate",
        "if self._count_in_window(now, read_until) <= max_count:",
        "if True:",
        "limits hold where upstreams stand still, and read on",
    ),
    mutant_table.Mutant(
        "who takes over a part of a limit begins at once",
        "kernel/shared_rate",
        "free_at = max(free_at, ids.later(view.until, window.seconds))",
        "pass",
        "who begins to hold a limit waits for what was sent before",
    ),
    mutant_table.Mutant(
        "a pace begins anew with each limit that is named",
        "kernel/named_limit",
        "since = max(\n            self._advertised_at,",
        "since = max(\n            self.reported_at,",
        KEPT,
    ),
    mutant_table.Mutant(
        "a side that sees too few others sends as if it were alone",
        "kernel/named_limit",
        "part_per_s = per_s / parts",
        "part_per_s = per_s",
        "a side that sees too few others sends a small part",
    ),
    mutant_table.Mutant(
        "those that see too few others all send at the same time",
        "kernel/named_limit",
        "self.participant.local_phase / part_per_s",
        "0.0",
        "a side that sees too few others sends a small part",
    ),
    mutant_table.Mutant(
        "an answer from before a limit ends it",
        "kernel/backpressure",
        "and sent_at > self.limit.reported_at",
        "",
        "an answer from before a limit does not end it",
    ),
    mutant_table.Mutant(
        "what an upstream said is forgotten with its entry",
        "kernel/said",
        "if entry is None or entry.born != spec.born:",
        "if True:",
        "what an upstream said holds when its entry comes back",
    ),
    mutant_table.Mutant(
        "an upstream that rests is sent more",
        "kernel/backpressure",
        "if self.in_backoff(now):\n            return False\n        # Called",
        "if False:\n            return False\n        # Called",
        "an upstream that rests gets nothing until its rest is over",
    ),
    mutant_table.Mutant(
        "who is refused where all rest is told to come back at once",
        "kernel/backpressure",
        "return max(self.backoff_until, self.limit.free_at(now, read_until))",
        "return self.limit.free_at(now, read_until)",
        "where all rest calls are refused with the end of the first",
    ),
    mutant_table.Mutant(
        "a try that waited for its connection is sent into a rest",
        "forwarding/sending",
        "and not grant.upstream.backpressure.in_backoff(steady_clock.now())",
        "",
        "a try that waits for its connection is not sent into a rest",
    ),
    mutant_table.Mutant(
        "an entry brings back an upstream that said it leaves",
        "kernel/upstream_set",
        "if upstream.backpressure.is_leaving:",
        "if False:",
        "an upstream that said it leaves stays out whatever is listed",
    ),
    mutant_table.Mutant(
        "nobody tells that a limit has ended",
        "gateway/cluster/limit_news",
        "return limit.per_s is not None or now",
        "return limit.per_s is not None and now",
        "a limit is told on by who heard it, and that it ended",
    ),
    mutant_table.Mutant(
        "a call waits for a turn that comes just in time",
        "decisions/queueing",
        "expected_wait_s(pool, ahead, now) + reserve_s",
        "expected_wait_s(pool, ahead, now)",
        "who is let wait for a turn is not refused after all",
    ),
)
