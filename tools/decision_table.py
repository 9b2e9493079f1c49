"""
The rules that decide about requests: question, function, inputs, constants, proof.

``tools/decisions.py`` makes docs/DECISIONS.md from it. Functions and constants are
named as ``package/module.name`` below ``spindlenotch/``, events by their name in
``spindlenotch.events``.
"""

from tools import decision_rules

Scenario = decision_rules.Scenario
Rule = decision_rules.Rule

RULES = (
    Rule(
        question="When a request leaves its region",
        functions=(
            "decisions/overflow.may_leave_region",
            "decisions/overflow.candidates",
            "decisions/overflow.leave_region_at",
        ),
        inputs="arrival (instant), how long it may wait (instant), bytes of the request"
        " and mean bytes of the route's answers, whether the own region has an upstream"
        " that may take it, share of their slots that upstreams of each region have in"
        " use, regions in which the route may be served.",
        reason="It waits in its region for as long as the way costs, so that it costs"
        " at most twice what the better of the two would have; an answer from afar is"
        " better than a refusal. A region above the limit keeps its last slots for its"
        " own calls. No try leaves the regions of the route.",
        constants=(
            "decisions/overflow.MAX_COMPARED",
            "decisions/overflow.MAX_USED_SHARE",
            "decisions/overflow.CROSS_REGION_S",
            "decisions/overflow.CROSS_REGION_S_PER_BYTE",
            "decisions/overflow.MAX_WAIT_SHARE",
            "gateway/serving/body_traffic.SIZE_WEIGHT",
            "gateway/serving/body_traffic.INITIAL_LARGE_RESPONSE_BYTES",
        ),
        events=("REGION_NOT_ALLOWED",),
        tests=(
            Scenario(
                "regions", "in calm all but a few in a thousand stay in their region"
            ),
            Scenario(
                "regions", "a region that is overrun uses what others have to spare"
            ),
            Scenario("regions", "regions that are all overrun keep to themselves"),
            Scenario(
                "regions", "no try of a call leaves the regions in which it may run"
            ),
        ),
    ),
    Rule(
        question="Which upstream takes a request (gateway)",
        functions=(
            "decisions/least_latency.expected_s",
            "decisions/least_latency.has_room",
            "decisions/least_latency.without_slowed",
            "decisions/least_latency.failure_cost",
            "kernel/failure_share.FailureShare.value",
            "kernel/contention.Contention.usable",
            "decisions/silence.overdue_cost",
        ),
        inputs="typical latency of the route (s), reported slowdown (factor) and its"
        " age (s), latency ratio, estimated load and slots, silence (s), warm-up end,"
        " zone, body size (bytes), share of failures, whether the call may run again.",
        reason="The soonest expected end among upstreams with room; of equals, one of"
        " the own zone. While some are not slowed, slowed ones are passed over: work"
        " that begins there is late and holds its slot.",
        constants=(
            "decisions/least_latency.ROOM_MARGIN",
            "decisions/least_latency.SLOWER_FROM_SHARE",
            "decisions/least_latency.FULL_SLOWDOWN",
            "decisions/least_latency.COLD_FACTOR",
            "decisions/least_latency.MIN_LATENCY_RATIO",
            "decisions/least_latency.ANSWERS_TRUSTED",
            "decisions/least_latency.EQUAL_COST_SHARE",
            "decisions/least_latency.MAX_COMPARED",
            "decisions/least_latency.MAX_LOCAL_ZONE_COMPARED",
            "decisions/least_latency.REPEATABLE_COST",
            "decisions/least_latency.UNREPEATABLE_COST",
            "kernel/failure_share.DECAY_S",
            "kernel/failure_share.PRIOR_ANSWERS",
            "kernel/failure_share.REFUSAL_WEIGHT",
            "kernel/upstreams.SLOWED_FACTOR",
            "kernel/upstreams.SLOWDOWN_DECAY_S",
            "kernel/contention.NEARLY_FULL",
            "kernel/contention.MAX_SAMPLE_SLOWDOWN",
            "kernel/contention.MIN_SAMPLES",
            "kernel/contention.CONTENTION_RATIO",
            "decisions/silence.MAX_TOLERATED_MISSED_ANSWERS",
            "decisions/silence.COST_PER_MISSED_ANSWER",
            "gateway/serving/job_factory.MIN_CROSS_ZONE_S",
            "gateway/serving/job_factory.CROSS_ZONE_S_PER_BYTE",
        ),
        events=("REQUEST_SERVED", "REQUEST_SENT_AGAIN"),
        tests=(
            Scenario("gateway", "an upstream without room or leaving is never chosen"),
            Scenario(
                "gateway", "a slowed upstream is passed over while another has room"
            ),
            Scenario("gateway", "of equals the own zone's upstreams are taken first"),
            Scenario(
                "gateway", "what can't be repeated avoids upstreams that fail some"
            ),
            Scenario("gateway", "an upstream that nobody has tried yet gets its share"),
            Scenario(
                "gateway", "the last slots stay empty where filling them slows work"
            ),
        ),
    ),
    Rule(
        question="Which upstream takes a request (entry daemon)",
        functions=(
            "decisions/owned_slots.OwnedSlotsPolicy.choose",
            "decisions/queueing_cost.estimate_cost",
            "kernel/ownership.owned",
        ),
        inputs="own slots, estimated load, latency ratio, silence (s), zone, share of"
        " calls refused.",
        reason="Own slots first, where the entry's own count is nearly exact, then"
        " the cheapest of a few others, within a limit that follows the queues that"
        " upstreams report.",
        constants=(
            "decisions/owned_slots.SAMPLE_SIZE",
            "decisions/owned_slots.SLOW_COST",
            "decisions/owned_slots.MIN_FACTOR",
            "decisions/owned_slots.MAX_FACTOR",
            "decisions/owned_slots.QUEUE_TARGET",
            "kernel/wait_queue.CROSS_ZONE_S",
            "decisions/queueing_cost.MIN_LATENCY_RATIO",
            "decisions/overload.MAX_REFUSED_SHARE",
            "decisions/overload.MAX_QUEUED_PER_SLOT",
        ),
        tests=(
            Scenario("kernel", "own slots of all entries add up to all slots"),
            Scenario("kernel", "nobody unfit is chosen"),
            Scenario("kernel", "what is explained is what was done"),
        ),
    ),
    Rule(
        question="What a gateway that has just started does with requests",
        functions=(
            "decisions/start_limit.hold_until",
            "gateway/state.GatewayState.wait_until_can_serve",
        ),
        inputs="when the process started (instant), whether routes and upstreams are"
        " known.",
        reason="After a loss of power callers come back at once, twice, and the first"
        " gateways can serve some moments later: the requests are held that long.",
        constants=("decisions/start_limit.STARTUP_HOLD_S",),
        events=("READY",),
        tests=(
            Scenario(
                "gateway_requests",
                "requests are held while a gateway starts, not for long",
            ),
        ),
    ),
    Rule(
        question="When a request is refused because the gateway lacks processor time",
        functions=(
            "kernel/concurrency_limit.ConcurrencyLimit.add_iteration",
            "kernel/concurrency_limit.ConcurrencyLimit.admits",
            "gateway/serving/overload_guard.OverloadGuard.retry_after_s",
            "gateway/serving/overload_gate.OverloadGate.judge",
            "drivers/listener.Listener",
        ),
        inputs="duration of the event loop's iterations while callers send (s), without"
        " the time in which connections are refused; requests in progress; timeouts of"
        " requests (s).",
        reason="Each request takes several iterations, so without a limit all of them"
        " become too late together. The limit falls while iterations are long and"
        " rises otherwise; slow upstreams do not lower it. What is beyond it is refused"
        " in one step on connections that are accepted meanwhile.",
        constants=(
            "kernel/concurrency_limit.LONG_ITERATION_SHARE",
            "kernel/concurrency_limit.MIN_LONG_ITERATION_S",
            "kernel/concurrency_limit.MAX_LONG_ITERATION_S",
            "kernel/concurrency_limit.TIMEOUT_WEIGHT",
            "kernel/concurrency_limit.LONG_ITERATIONS",
            "kernel/concurrency_limit.DECREASE",
            "kernel/concurrency_limit.MIN_LIMIT",
            "kernel/concurrency_limit.INCREASE_SHARE_PER_S",
            "kernel/concurrency_limit.INCREASE_PER_S",
            "kernel/concurrency_limit.RELEASE_S",
            "gateway/serving/overload_guard.MIN_RETRY_S",
            "gateway/serving/overload_guard.MAX_RETRY_S",
            "gateway/serving/overload_guard.RETRY_SPREAD",
            "drivers/listener.MAX_ACCEPTS",
        ),
        events=("OVERLOADED", "OVERLOAD_OVER", "REQUEST_REFUSED"),
        tests=(
            Scenario(
                "slow_hosts",
                "Overloaded gateways serve what they can and refuse the rest at once",
            ),
            Scenario(
                "slow_hosts",
                "Gateways that were all killed return on hosts that can't serve all"
                " callers",
            ),
            Scenario(
                "slow_hosts", "Hosts that are slow, but not too slow, refuse nothing"
            ),
            Scenario(
                "gateway", "the limit falls while iterations are long, then is lifted"
            ),
            Scenario(
                "gateway", "slow upstreams and standstills do not lower the limit"
            ),
            Scenario(
                "gateway", "all waiting connections are accepted in one iteration"
            ),
        ),
    ),
    Rule(
        question="When a request waits, how long, and when it is given up",
        functions=(
            "decisions/balancer.Balancer.offer",
            "decisions/admission.Admission",
            "decisions/start_limit.for_request",
            "decisions/queueing.refusal_rule_for_new",
            "decisions/queueing.refusal_rule",
            "decisions/queueing.refusal_rule_for_waiting",
            "decisions/queueing.displaced_by",
            "gateway/serving/caller_age.RequestAges.age_s",
            "kernel/completion_rate.CompletionRate",
            "kernel/wait_queue.WaitQueue",
        ),
        inputs="rank, deadline (instant), calls ahead, typical latency (s), ends a"
        " second, the route's target (s), the age of the request (s).",
        reason="A call waits here while no upstream has room, so that a more urgent"
        " one can pass it, and one that can still be in time one that can't. It is"
        " refused as soon as it can't make its deadline, or its target.",
        constants=(
            "decisions/start_limit.LATE_WAIT_SHARE",
            "decisions/start_limit.MIN_LATE_WAIT_S",
            "decisions/start_limit.WAIT_WITHOUT_TARGET_S",
            "decisions/start_limit.RESPONSE_TRANSIT_S",
            "gateway/serving/caller_age.BUCKET_RATIO",
            "gateway/serving/caller_age.MIN_INITIAL_TIMEOUT_SHARE",
            "gateway/serving/caller_age.MAX_INITIAL_TIMEOUT_RATIO",
            "kernel/completion_rate.TIME_CONSTANT_S",
            "decisions/queueing.MIN_COMPLETIONS_PER_S",
            "decisions/queueing.DISPATCH_RESERVE_S",
            "kernel/wait_queue.OLDEST_FIRST_EVERY",
            "forwarding/granting.MAX_QUEUE_CHECK_S",
            "forwarding/granting.MIN_QUEUE_CHECK_S",
        ),
        events=("REQUEST_REFUSED",),
        tests=(
            Scenario("gateway", "a call waits while only slowed upstreams have room"),
            Scenario("gateway", "a call that waits too long for room is refused"),
            Scenario(
                "gateway", "a call that can be in time goes before one that can't"
            ),
            Scenario("gateway", "a refusal names the rule that decided"),
            Scenario("kernel", "a higher class never waits behind a lower one"),
            Scenario(
                "kernel",
                "Waiting calls that cannot make it are refused before their deadline",
            ),
        ),
    ),
    Rule(
        question="When a request is begun that stands behind others",
        functions=(
            "gateway/serving/pipelining.PipelinedConnection",
            "gateway/serving/ingress.Ingress.start_early",
        ),
        inputs="methods of the requests in front, kind of the route, phase.",
        reason="A lookup sent behind another would else start when that is answered."
        " Answers go out in the order of the requests.",
        constants=("gateway/serving/pipelining.MAX_EARLY_REQUESTS",),
        tests=(
            Scenario(
                "pipelining",
                "Lookups behind another are begun at once and answered in order",
            ),
        ),
    ),
    Rule(
        question="What a refusal says, and when to come back",
        functions=(
            "decisions/queueing.retry_at",
            "kernel/upstream_pool.Pool.usable_again_at",
            "gateway/serving/refusals.not_run",
            "gateway/serving/refusals.failure_status",
            "forwarding/classification.refusal",
            "entry/texts.status_of",
        ),
        inputs="whether the request may have run, the reason, queue length, typical"
        " latency (s), end of the first ejection (instant).",
        reason="503 with Retry-After says that the request has not run. 502 and 504"
        " promise nothing.",
        constants=(
            "decisions/queueing.MIN_RETRY_AFTER_S",
            "kernel/ejection.RETRY_AFTER_S",
        ),
        events=("REQUEST_REFUSED", "REQUEST_FAILED"),
        tests=(
            Scenario(
                "platform",
                "What no route leads to is not found, and what no worker serves is"
                " refused at once",
            ),
            Scenario(
                "defaults",
                "A shed booking is not run, at once, with a time to come back",
            ),
        ),
    ),
    Rule(
        question="When it is sent again (retry)",
        functions=(
            "decisions/retrying.is_allowed",
            "decisions/balancer.Balancer.retry",
            "forwarding/attempts.Attempts._retry",
        ),
        inputs="whether the failed try is known not to have run, whether the request"
        " may run twice, tries so far and how many of them reached nobody, deadline,"
        " share of failed calls, budget.",
        reason="A request that may not be repeated is sent again only if it is known"
        " not to have run. While much of the service fails, repeats only add load. A"
        " try that reached nobody does not use up the route's tries; what a draining"
        " upstream turned away takes nothing from an entry's budget.",
        constants=(
            "decisions/overload.MAX_FAILED_SHARE",
            "decisions/retrying.MAX_UNREACHED",
        ),
        events=("REQUEST_SENT_AGAIN",),
        tests=(
            Scenario("kernel", "a try that reached nobody leaves a call its tries"),
            Scenario(
                "kernel", "what a draining upstream turned away moves beside the budget"
            ),
            Scenario("gateway", "only what is known not to have run is sent again"),
            Scenario("gateway", "no call is sent to more upstreams than it may be"),
        ),
    ),
    Rule(
        question="When a second copy goes out (hedge)",
        functions=(
            "decisions/hedging.is_allowed",
            "decisions/hedging.is_overdue",
            "decisions/hedging.check_interval_s",
        ),
        inputs="age of the try (s), 95th percentile of the latency (s), silence of"
        " the upstream (s), its slowdown (factor), calls waiting, tries so far.",
        reason="A copy goes out when the upstream has been silent for longer than"
        " chance explains, or the call is slower than 95 in 100; never with calls"
        " waiting.",
        constants=(
            "decisions/hedging.MAX_MISSED_ANSWERS",
            "decisions/hedging.SLOWED_AGE_SHARE",
            "decisions/hedging.SLOWDOWN_CHECK_SHARE",
        ),
        events=("REQUEST_SENT_AGAIN",),
        tests=(
            Scenario("kernel", "extra sends stay within their share"),
            Scenario("platform", "A repeat is told in the logs with what decided it"),
        ),
    ),
    Rule(
        question="The budget of retries and hedges",
        functions=(
            "kernel/budgets.SlidingShareBudget.available",
            "kernel/copy_tracker.CopyTracker.settle_read",
            "kernel/budgets.ShareBudget.available",
            "kernel/extra_budgets.SharedWindow",
            "gateway/service_defaults.extra_reserve",
            "gateway/cluster/fleet_size.FleetSize.update",
            "kernel/extra_budgets.SeparateShares",
        ),
        inputs="own first sends in the window, extra sends that arrived in it or may"
        " yet arrive, share, reserve, largest number of gateways seen in the last"
        " minute; settings `extra_share`, `extra_reserve`, `extra_window_s`.",
        reason="The gateway has one budget for both in a sliding window, whose sum over"
        " the fleet holds whatever each gateway assumes. The reserve is divided by"
        " twice the size of the fleet seen lately, so that a process that is started"
        " anew has a part of its own; what was earned is used within a second or mostly"
        " lost, so that gateways that follow on each other don't use twice what the"
        " same requests earned. What was sent to an upstream that stands still is read"
        " when it goes on, and nothing takes it back: an extra send counts until a"
        " window after it is known to have arrived. The entry daemon has two shares of"
        " its traffic, named by the bundle.",
        constants=(
            "gateway/service_defaults.EXTRA_MARGIN",
            "gateway/service_defaults.RESERVE_PARTS_PER_GATEWAY",
            "gateway/service_defaults.MIN_RESERVE_PARTS",
            "gateway/service_defaults.ASSUMED_FLEET_SIZE",
            "gateway/cluster/fleet_size.RETENTION_S",
            "kernel/budgets.DECAY_SHARE_OF_WINDOW",
            "kernel/budgets.UNSETTLED_SHARE",
            "kernel/copy_tracker.UNREAD_TIMEOUT_S",
            "kernel/copy_tracker.LATE_READ_S",
            "kernel/budgets.MAX_BALANCE",
            "kernel/budgets.INITIAL_RESERVE",
        ),
        events=("REQUEST_SENT_AGAIN", "EXTRA_SENDS_IN_WINDOW", "LATE_COPIES_READ"),
        tests=(
            Scenario("gateway", "the fleet's extra sends keep to share and reserve"),
            Scenario("gateway", "a fleet's retries keep to what all may send together"),
            Scenario("gateway", "a fleet's retries keep to it where they arrive late"),
            Scenario("late_arrivals", "Half of the workers stand still for longer"),
            Scenario("kernel", "extra sends stay within their share"),
        ),
    ),
    Rule(
        question="What counts as a whole answer, as 'not run', as unknown",
        functions=(
            "forwarding/classification.classify_fault",
            "forwarding/classification.classify_answer",
            "gateway/serving/answers.read",
            "gateway/serving/answers.implies_not_run",
            "drivers/upstream_http.HttpUpstreamPort.send",
        ),
        inputs="fault of the connection, request id and stamp of the answer, status,"
        " framing and end of the body.",
        reason="'Not run' needs positive knowledge: no connection was made, or the"
        " upstream said so. All else may have run.",
        constants=("gateway/serving/answers.MAX_BUFFERED_RESPONSE_BYTES",),
        events=("REQUEST_FAILED", "FOREIGN_ANSWER"),
        tests=(
            Scenario(
                "platform",
                "A fault of one worker is covered for requests that may be repeated",
            ),
            Scenario(
                "platform",
                "A fault of a worker is never hidden for what may run once",
            ),
            Scenario(
                "defaults",
                "A booking over a connection that breaks is unknown and not resent",
            ),
        ),
    ),
    Rule(
        question="When an upstream is ejected and comes back",
        functions=(
            "kernel/ejection.reason_to_eject",
            "kernel/ejection.is_hung",
            "kernel/ejection.duration_s",
            "kernel/ejection.may_eject",
            "kernel/hearing.Liveness.silent_s",
            "kernel/upstreams.Upstream.may_take",
        ),
        inputs="failures in a row, silence (s), 95th percentile of the latency (s),"
        " ejections in a row, share of the pool that is out, reports of probes.",
        reason="Failures in a row or a silence that only a stop explains take it out;"
        " silence adds up over tries that were broken off. After the pause one request"
        " on probation decides, where it was silent only once a probe tells of it.",
        constants=(
            "kernel/ejection.CONSECUTIVE_FAILURES",
            "kernel/ejection.BASE_EJECTION_S",
            "kernel/ejection.MAX_EJECTION_S",
            "kernel/ejection.HUNG_P95_FACTOR",
            "kernel/ejection.MIN_HUNG_SILENCE_S",
            "kernel/ejection.MIN_POOL_SIZE",
            "kernel/hearing.MAX_REPORT_LAG_S",
            "kernel/hearing.MAX_REPORT_INTERVAL_S",
            "kernel/hearing.PROBED_WITHIN_S",
            "kernel/hearing.CANCELLED_WAIT_DECAY_S",
        ),
        events=("UPSTREAM_EJECTED", "UPSTREAM_PROBATION", "UPSTREAM_BACK"),
        tests=(
            Scenario(
                "kernel",
                "A zone that has lost most of its upstreams does not shrink the others",
            ),
            Scenario("invariants", "Any fault at any moment, together or twice"),
            Scenario(
                "gateway", "what stands still is found out by tries that break off"
            ),
        ),
    ),
    Rule(
        question="Which route and service",
        functions=(
            "gateway/source/routing.RouteTable.find",
            "gateway/source/routing.WeightedRoundRobin.next",
        ),
        inputs="Host header, path, weights of the route's services.",
        reason="The longest prefix of the host; smooth weighted round robin keeps each"
        " service within one request of its share.",
        events=("CONFIGURATION_APPLIED",),
        tests=(
            Scenario("gateway", "the longest prefix of the host is the route"),
            Scenario("gateway", "weights are kept to within one request"),
        ),
    ),
)
