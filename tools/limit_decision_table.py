"""
The rules on what upstreams say of how much they will take.

Part of the table that ``docs/DECISIONS.md`` is made from; see ``decisions``.
"""

from tools import decision_rules

Scenario = decision_rules.Scenario
Rule = decision_rules.Rule

RULES = (
    Rule(
        question="Who sends to an upstream that names a limit, and how often",
        functions=(
            "kernel/named_limit.AdvertisedLimit.may_send",
            "kernel/shared_rate.Participant.holders",
            "kernel/shared_rate.Participant.held_since",
            "kernel/shared_rate.Pacer.may_send",
            "gateway/cluster/limit_news.LimitAnnouncements.due",
        ),
        inputs="requests a second that the upstream takes, as its answers or peers"
        " said last, active gateways now and a window ago, gateways seen now and"
        " lately, what was sent there and read.",
        reason="An upstream in need names what it takes from all gateways together."
        " Some active gateways of its zone have equal parts of that, by rendezvous"
        " hashing, the others none; who begins to have one waits for a window. Who"
        " hears the limit, or that it ended, tells the other active gateways. Where"
        " too few others are in view, a small part is sent. Calls that find no turn in"
        " time are refused at once.",
        constants=(
            "kernel/named_limit.MIN_PER_S",
            "kernel/named_limit.PARTS_PER_ISOLATED_PROCESS",
            "kernel/named_limit.TRIAL_AFTER_S",
            "kernel/said.RETENTION_S",
            "gateway/cluster/limit_news.REPEAT_S",
            "gateway/cluster/limit_news.END_ANNOUNCED_S",
        ),
        events=("UPSTREAM_LIMITED", "UPSTREAM_LIMIT_ENDED", "SENT_TO_LIMITED"),
        tests=(
            Scenario("gateway", "upstreams get the limits that they name, and no more"),
            Scenario(
                "gateway", "limits hold while gateways end, start and stand still"
            ),
            Scenario("gateway", "limits hold while views of who shares them differ"),
            Scenario("gateway", "limits hold where upstreams stand still, and read on"),
            Scenario("gateway", "a side that sees too few others sends a small part"),
            Scenario("named_limits", "All workers name a limit"),
        ),
    ),
    Rule(
        question="What becomes of an upstream that leaves, or asks for rest",
        functions=(
            "kernel/backpressure.Backpressure.record_signals",
            "kernel/backpressure.Backpressure.may_send",
            "decisions/availability.usable_at",
            "decisions/availability.next_retry_at",
        ),
        inputs="what its answers to this process said, when (instant), seconds of rest",
        reason="An upstream that says it leaves gets nothing more from this process,"
        " whatever its entry says, until it starts again. One that turns a request"
        " away and asks for rest gets nothing from this process for so long; others"
        " may send there. A caller is told to come back when any upstream may be"
        " used.",
        constants=("kernel/said.RETENTION_S",),
        events=("UPSTREAM_LEAVING", "UPSTREAM_BACKOFF", "SIGNAL_UNREADABLE"),
        tests=(
            Scenario(
                "gateway", "an upstream that rests gets nothing until its rest is over"
            ),
            Scenario(
                "gateway", "where all rest calls are refused with the end of the first"
            ),
            Scenario(
                "gateway",
                "an upstream that said it leaves stays out whatever is listed",
            ),
            Scenario("answers_that_say", "All workers ask for rest"),
        ),
    ),
)
