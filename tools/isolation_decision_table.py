"""
The rules on gateways that reach no upstream.

Part of the table that ``docs/DECISIONS.md`` is made from; see ``decisions``.
"""

from tools import decision_rules

Scenario = decision_rules.Scenario
Rule = decision_rules.Rule

RULES = (
    Rule(
        question="When a gateway counts as isolated, and what follows",
        functions=(
            "kernel/reachability.Reachability.is_check_due",
            "kernel/reachability.Reachability.checked",
            "gateway/cluster/isolation.Isolation.is_isolated_since",
            "gateway/cluster/fleet.Fleet.view",
            "gateway/serving/handover.Handover.is_due",
            "gateway/serving/handover.Handover.interrupt",
        ),
        inputs="responses and failures of its requests and probes, probes of three"
        " upstreams of different zones where possible, what peers say of themselves.",
        reason="Callers keep to a gateway for seconds after the directory has changed."
        " A service that is down looks the same to every gateway: where all are"
        " isolated, nothing changes. Failures alone prove nothing, as requests may take"
        " long and upstreams crash together.",
        constants=(
            "kernel/reachability.MIN_FAILED_UPSTREAMS",
            "kernel/reachability.MAX_SILENCE_S",
            "kernel/reachability.SILENCE_CHECK_PERIOD_S",
            "kernel/reachability.MAX_IDLE_S",
            "kernel/reachability.MAX_IDLE_NEAR_ISOLATED_S",
            "kernel/reachability.ISOLATED_CHECK_PERIOD_S",
            "kernel/reachability.CHECKS_TO_RECOVER",
            "gateway/cluster/isolation.UPSTREAMS_PER_CHECK",
            "gateway/cluster/isolation.CHECK_TIMEOUT_S",
            "gateway/serving/handover.MAX_TARGETS",
            "gateway/serving/job_factory.MAX_HANDOVERS",
        ),
        events=("UPSTREAMS_UNREACHABLE", "UPSTREAMS_REACHED", "REQUEST_HANDED_OVER"),
        tests=(
            Scenario("gateway", "callers are not told of a gateway without upstreams"),
            Scenario(
                "gateway", "callers are told of some where none reaches an upstream"
            ),
            Scenario("gateway", "links that come and go end an isolation late"),
        ),
    ),
)
