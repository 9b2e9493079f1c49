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
            "gateway/serving/handover.Handover.send_refused",
            "gateway/serving/handover.Handover.interrupt",
        ),
        inputs="responses and failures of its requests and probes, each over new"
        " connections and over any; probes of three upstreams, over new connections and"
        " of different services and zones; what peers say of themselves.",
        reason="Callers keep to a gateway for seconds after the directory has changed."
        " A service that is down looks the same to every gateway: where all are"
        " isolated, nothing changes. Failures alone prove nothing, as requests may take"
        " long and upstreams crash together. Responses over open connections do not"
        " show that new ones can be opened.",
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
            "gateway/serving/peer_offers.MAX_TARGETS",
            "gateway/serving/handover.MAX_EVIDENCE_AGE_S",
            "gateway/serving/job_factory.MAX_HANDOVERS",
        ),
        events=("UPSTREAMS_UNREACHABLE", "UPSTREAMS_REACHED", "REQUEST_HANDED_OVER"),
        tests=(
            Scenario("gateway", "callers are not told of a gateway without upstreams"),
            Scenario(
                "gateway", "callers are told of some where none reaches an upstream"
            ),
            Scenario("gateway", "links that come and go end an isolation late"),
            Scenario(
                "gateway", "open connections do not hide that new ones are refused"
            ),
            Scenario("gateway", "open connections do not hide that new ones hang"),
        ),
    ),
    Rule(
        question="When a gateway that is not isolated hands a request over",
        functions=(
            "gateway/serving/handover.Handover.send_refused",
            "kernel/target_trials.TargetTrials.begin_trial",
            "kernel/target_trials.TargetTrials.serving",
        ),
        inputs="that no connection could be opened for the request, so that it has not"
        " run; how other gateways have answered such requests of the service.",
        reason="Links may be lost to the upstreams of one service, or to most of them."
        " If the upstreams themselves refuse connections, the other gateways refuse as"
        " well: then only trials are sent, ever more rarely.",
        constants=(
            "kernel/target_trials.MIN_INTERVAL_S",
            "kernel/target_trials.MAX_INTERVAL_S",
            "kernel/target_trials.TARGET_PAUSE_S",
        ),
        events=("REQUEST_HANDED_OVER",),
        tests=(
            Scenario(
                "gateway", "few requests are handed over while nobody serves them"
            ),
            Scenario("gateway", "a gateway that serves is used until it fails"),
        ),
    ),
)
