"""
The rules on orders to change a service's version: question, function, inputs, proof.

See ``decision_table``, which has those about requests.
"""

from tools import decision_rules

Scenario = decision_rules.Scenario
Rule = decision_rules.Rule

RULES = (
    Rule(
        question="Which requests go to a version that is tried, and to which upstreams",
        functions=(
            "decisions/traffic_split.TrafficSplit.choose_target",
            "decisions/traffic_split.TrafficSplit.excluded",
            "decisions/canary_bursts.Bursts.targets",
            "gateway/rollout/registry.Registry.reconcile",
        ),
        inputs="requests of the service, and of each route, that this process saw"
        " answered since the order, and those it sent to the version; the operator's"
        " share; the service's upstreams and their versions; the order's phase and end;"
        " which gateways serve callers, and how many requests run at a time.",
        reason="The bound holds in each process at any time, from zero, so it holds for"
        " the sum of all, whatever they know of each other and whenever a version turns"
        " bad. What is due is sent in bursts, in all processes at the same moments and"
        " to few upstreams at a time, so that requests meet there and failures under"
        " load show. Only first tries go there: what fails is repeated elsewhere.",
        constants=(
            "gateway/rollout/runs.SHARE_MARGIN",
            "decisions/traffic_split.MIN_CANARIES",
            "decisions/traffic_split.EVEN_SHARE",
            "decisions/canary_bursts.PERIOD_S",
            "decisions/canary_bursts.LENGTH_FACTOR",
            "decisions/canary_bursts.CALLS_PER_SLOT",
        ),
        events=("ROLLOUT_STARTED", "ROLLOUT_WITHDRAWN"),
        tests=(
            Scenario(
                "rollout_rules",
                "what all processes send to a version stays in its share",
            ),
            Scenario(
                "rollout_rules",
                "a version that fails under more load than there is is taken back",
            ),
            Scenario("rollout_rules", "a second order spares the version of the first"),
            Scenario(
                "rollout", "A good version is tried, promoted and completed in time"
            ),
        ),
    ),
    Rule(
        question="When a version is bad",
        functions=(
            "gateway/rollout/evidence.count_call",
            "gateway/rollout/usual_times.BaselineLatency.seconds",
            "gateway/rollout/evidence_merging.MergedEvidence.merge_record",
            "gateway/rollout/analysis.Analysis.finding",
            "gateway/rollout/sequential_test.Test.suspicion",
            "gateway/rollout/others_rates.BaselineRates.rate",
        ),
        inputs="calls judged and failed, timed and slow, by route and upstream of the"
        " version, and by route of the others, of each gateway since the order.",
        reason="A sequential likelihood-ratio test on each route and on all, against"
        " the others at the same time, on the same route and at the same gateway: what"
        " strikes all alike speaks against none. It has to hold without the worst"
        " upstreams, so that a few bad ones are not taken for their version.",
        constants=(
            "gateway/rollout/sequential_test.THRESHOLD",
            "gateway/rollout/sequential_test.THRESHOLD_WITHOUT_WORST",
            "gateway/rollout/sequential_test.UPSTREAM_THRESHOLD",
            "gateway/rollout/sequential_test.WORST_SHARE",
            "gateway/rollout/sequential_test.MIN_WORST",
            "gateway/rollout/sequential_test.MIN_WORST_SHARE",
            "gateway/rollout/others_rates.SHORT_TERM_S",
            "gateway/rollout/others_rates.LONG_TERM_S",
            "gateway/rollout/others_rates.MIN_SOURCES",
            "gateway/rollout/evidence.SLOW_FACTOR",
            "gateway/rollout/usual_times.MIN_ANSWERS",
            "gateway/rollout/usual_times.MIN_WEIGHT",
        ),
        events=("ROLLOUT_ROLLED_BACK",),
        tests=(
            Scenario(
                "rollout_rules",
                "a bad version is taken back, within share and bound",
            ),
            Scenario(
                "rollout_rules",
                "a good version is completed in time, whatever else fails",
            ),
            Scenario(
                "rollout_rules", "a few bad upstreams are not taken for their version"
            ),
            Scenario(
                "rollout_rules", "what strikes all versions alike speaks against none"
            ),
            Scenario("rollout", "A version that fails is taken back at once"),
            Scenario("rollout_rules", "A version that is slow with 6 of 10 requests"),
        ),
    ),
    Rule(
        question="When a version takes over, and who writes that",
        functions=(
            "gateway/rollout/promotion.promotion_blocker",
            "gateway/rollout/promotion.failure_excess",
            "gateway/rollout/promotion.completion_blocker",
            "gateway/rollout/decider_rules.candidates",
            "gateway/rollout/decider_rules.next_state",
        ),
        inputs="the order's end (instant), usual times of the routes, answers of the"
        " version and how suspicious it is, usable slots of both versions, which"
        " gateways have nothing under way on the others, gateways seen now and lately.",
        reason="As late as the work under way allows, as all that is sent before is"
        " within the share. Completed only when all gateways that took part have left"
        " the others, since these stop at once then, and by one that sees more than"
        " half of the fleet. Two that decide do no harm: each write has the status and"
        " the order that were read as its condition.",
        constants=(
            "gateway/rollout/promotion.PROPAGATION_S",
            "gateway/rollout/promotion.WATCH_S",
            "gateway/rollout/promotion.MAX_PROMOTION_SHARE",
            "gateway/rollout/promotion.LONG_CALL_FACTOR",
            "gateway/rollout/promotion.FINAL_WINDOW_S",
            "gateway/rollout/promotion.MIN_ANSWERS",
            "gateway/rollout/promotion.MIN_SLOTS_SHARE",
            "gateway/rollout/promotion.MAX_SUSPICION",
            "gateway/rollout/promotion.MAX_EXCESS",
            "gateway/rollout/promotion.MIN_EXCESS_SHARE",
            "gateway/rollout/promotion.MAX_RESIDUAL_SUSPICION",
            "gateway/rollout/promotion.STRICT_WATCH_S",
            "gateway/rollout/decider_rules.CANDIDATE_COUNT",
        ),
        events=(
            "ROLLOUT_PROMOTING",
            "ROLLOUT_STATUS_WRITTEN",
            "ROLLOUT_STATUS_FAILED",
            "ROLLOUT_BLOCKED",
            "ROLLOUT_ENDED",
            "ROLLOUT_UNTESTED",
            "ROLLOUT_DECIDER",
            "ROLLOUT_PROMOTION_COUNTS",
        ),
        tests=(
            Scenario(
                "rollout_rules",
                "a status only goes forward, and is written under conditions",
            ),
            Scenario(
                "rollout_rules", "a status is written only in place of what was read"
            ),
            Scenario(
                "rollout_rules", "of two that decide one writes, and neither goes back"
            ),
            Scenario(
                "rollout_rules", "too few upstreams of a version are not promoted"
            ),
            Scenario(
                "rollout_rules",
                "a version that fails more often in sum is not promoted",
            ),
        ),
    ),
)
