"""
The rules that decide about the fleet: question, function, inputs, constants, proof.

See ``decision_table``, which has those about requests.
"""

from tools import decision_rules

Scenario = decision_rules.Scenario
Rule = decision_rules.Rule

RULES = (
    Rule(
        question="When a request is not sent any more because it ends upstreams",
        functions=(
            "decisions/quarantine.status_of",
            "decisions/quarantine.Quarantine.record_crash",
            "decisions/quarantine.Quarantine.take_recheck",
            "kernel/fingerprints.compute",
            "kernel/crash_records.CrashRecord.merged",
            "forwarding/crash_watch.CrashDetector.record_lost",
            "decisions/silence.may_have_crashed",
            "forwarding/recent_answers.RecentAnswers.contains",
            "forwarding/trials.Trials.admit",
            "gateway/quarantine/writer.QuarantineWriter.check",
        ),
        inputs="upstreams that ended under a request (method, host, target, body, and"
        " its caller), what was known of it when each try was sent, whether it was"
        " answered since or in the last seconds, whether a new connection finds the"
        " upstream, what peers and the source tell.",
        reason="A request that ends what runs it comes again, under new ids and to any"
        " gateway, and is never answered. Others are lost beside it, and upstreams end"
        " by themselves.",
        constants=(
            "decisions/quarantine.MIN_CRASHED_UPSTREAMS",
            "decisions/quarantine.MIN_CRASH_DEPTH",
            "decisions/quarantine.QUARANTINE_S",
            "decisions/quarantine.RECHECK_AFTER_S",
            "decisions/quarantine.KEEP_SUSPECT_S",
            "decisions/quarantine.KEEP_ANSWERED_S",
            "decisions/quarantine.MAX_RECORDS",
            "forwarding/recent_answers.GENERATION_S",
            "forwarding/crash_watch.LIVENESS_TIMEOUT_S",
            "forwarding/attempts.LIVENESS_RECHECK_S",
            "forwarding/crash_watch.FALSE_ALARM_WINDOW_S",
            "forwarding/trials.EXCLUSIVE_TRIAL_S",
            "forwarding/trials.MAX_RETRY_AFTER_S",
            "gateway/quarantine/sharing.RECENT_S",
            "gateway/quarantine/writer.MAX_WAIT_S",
        ),
        events=(
            "UPSTREAM_ENDED_UNDER_REQUEST",
            "REQUEST_QUARANTINED",
            "QUARANTINE_ENDED",
            "QUARANTINE_WRITTEN",
        ),
        tests=(
            Scenario(
                "gateway", "a request under which three upstreams end is quarantined"
            ),
            Scenario("gateway", "upstreams that end together quarantine no request"),
            Scenario(
                "gateway", "a fleet sends what ends upstreams at most three times more"
            ),
            Scenario(
                "poison_requests",
                "A request that ends what runs it is not sent on and on",
            ),
        ),
    ),
    Rule(
        question="When a request's time is over on a host that was suspended",
        functions=("gateway/deadlines.Deadlines.check",),
        inputs="the host's clock, which counts suspensions, and the event loop's.",
        reason="Timers run on the loop's clock and would end late by the suspension.",
        constants=("gateway/deadlines.MIN_SUSPENSION_S",),
        events=("HOST_SUSPENDED",),
        tests=(
            Scenario(
                "suspended_hosts",
                "A request whose time ran out while its host was suspended is ended at"
                " once",
            ),
        ),
    ),
    Rule(
        question="Which gateways callers are sent to",
        functions=(
            "gateway/cluster/active_set.choose",
            "gateway/cluster/active_set.capacity_of",
        ),
        inputs="capacity of each ready gateway (requests and bytes a second), demand of"
        " the fleet (the same), setting `entries_per_zone`.",
        reason="The strongest of each zone, and more while an even share of the demand"
        " is more than the weakest can carry. Few gateways see most of what an"
        " upstream does. A request counts for more where a host refuses some for lack"
        " of processor time, by what it was to serve and what it serves.",
        constants=(
            "gateway/cluster/active_set.PROCESSOR_SHARE",
            "gateway/cluster/active_set.LINK_SHARE",
            "gateway/cluster/active_set.REQUESTS_PER_CORE",
            "gateway/cluster/active_set.BYTES_PER_REQUEST",
            "gateway/cluster/active_set.TIER_FACTOR",
            "gateway/cluster/demand_meter.INTERVAL_S",
            "gateway/cluster/demand_meter.INTERVALS_KEPT",
            "gateway/cluster/demand_meter.REPORTED_CHANGE_SHARE",
            "gateway/cluster/demand_meter.COST_DECAY",
            "gateway/cluster/demand_meter.MAX_COST",
        ),
        events=("PEER_SEEN", "PEER_GONE"),
        tests=(
            Scenario(
                "gateway", "callers are sent to the strongest gateways of each zone"
            ),
            Scenario(
                "gateway", "more gateways step in where some refuse for lack of time"
            ),
            Scenario(
                "gateway", "more gateways step in where the weakest is overloaded"
            ),
            Scenario("gateway", "what callers ask rises at once and falls late"),
        ),
    ),
    Rule(
        question="Which region's gateways callers are sent to",
        functions=(
            "gateway/cluster/region_exchange.RegionExchange.addresses",
            "gateway/cluster/failover_demand.FailoverDemand.expected",
            "peers/region_links.RegionLinks.targets",
        ),
        inputs="the caller's region or zone, setting `region_by_zone`, regions that all"
        " restricted routes of the caller's host allow, age of each region's summary"
        " (s), demand of each region (requests and bytes a second).",
        reason="Those of the caller's region. Where it may be gone the own ones stand"
        " beside them, and where it is lost only these. What its callers asked is"
        " expected by the others before it is measured, as is an even part of all by"
        " a region that nobody has asked anything yet. One active gateway a region and"
        " period tells one of another region.",
        constants=(
            "peers/region_links.SUMMARY_STALE_S",
            "peers/region_links.SUMMARY_EXPIRY_S",
            "peers/region_links.MAX_INTRODUCED",
            "gateway/cluster/failover_demand.EXPECTED_S",
        ),
        events=("REGION_LOST", "REGION_BACK"),
        tests=(
            Scenario("regions", "callers are sent to gateways of their own region"),
            Scenario("regions", "regions that lose each other go on, and meet again"),
            Scenario(
                "regions", "callers of a region that is lost are served by the others"
            ),
        ),
    ),
    Rule(
        question="When the upstreams of an evacuated zone get their last request",
        functions=(
            "decisions/evacuation.leave_at",
            "gateway/source/listing.Listing.evacuate",
        ),
        inputs="zones that the operator evacuates, when this gateway learnt of them"
        " (instant), setting `evacuate_s`, id of each upstream.",
        reason="They leave one after the other over a part of the operator's bound, in"
        " the same order in every gateway; one that is learnt of later never gets"
        " work. A zone that is taken back is in use at once, as cold as its upstreams"
        " say.",
        constants=("decisions/evacuation.SPREAD_SHARE",),
        events=("ZONE_EVACUATED", "ZONE_RESTORED", "UPSTREAM_LEAVING"),
        tests=(
            Scenario(
                "gateway", "an evacuated zone empties by and by, within its bound"
            ),
            Scenario("gateway", "who starts while a zone is evacuated never uses it"),
            Scenario("gateway", "calls that wait get no room in an evacuated zone"),
            Scenario("gateway", "a zone that is taken back is in use again at once"),
        ),
    ),
    Rule(
        question="Who sends to a cold upstream, and how often",
        functions=(
            "kernel/cold_start.owner",
            "kernel/cold_start.ColdStart.may_send",
            "gateway/cluster/rate_sharers.RateSharers.update",
        ),
        inputs="requests a second that a cold upstream of the service bears, until"
        " when it is cold (instant; its entry, health answers, ejections), active"
        " gateways, gateways seen now and lately.",
        reason="One active gateway owns each cold upstream, by rendezvous hashing, and"
        " sends at an even pace without bursts; the others send none. A rate divided"
        " among 15 gateways is a request in 3.3 s for each, longer than upstreams are"
        " cold. Who sees no more than half of the gateways seen lately sends none, so"
        " that of a partition one side does at most. What lies unread there counts: an"
        " upstream that stands still reads it all at once when it goes on.",
        constants=(
            "kernel/shared_rate.MIN_WINDOW_REQUESTS",
            "kernel/shared_rate.MAX_TRANSIT_S",
            "gateway/cluster/fleet_size.RETENTION_S",
            "gateway/cluster/quorum.QUORUM_SHARE",
            "gateway/cluster/load_exchange.COLD_END_ANNOUNCED_S",
            "decisions/least_latency.COLD_FACTOR",
        ),
        tests=(
            Scenario(
                "gateway", "cold upstreams get no more than they bear, by one owner"
            ),
            Scenario("gateway", "a rate divided among many is hardly used"),
            Scenario("gateway", "what was not used of a cold upstream's rate is lost"),
            Scenario(
                "gateway", "a cold upstream that stands still reads what it bears"
            ),
            Scenario("gateway", "the latest health answer says whether one is cold"),
            Scenario(
                "platform", "A cold worker gets no more from all gateways than it bears"
            ),
        ),
    ),
    Rule(
        question="Who reads the store, who probes, who writes the discovery record",
        functions=(
            "gateway/cluster/duties.readers",
            "gateway/cluster/duties.probers",
            "gateway/cluster/duties.is_prober",
            "gateway/source/reader_duty.ReaderElection.must_read",
            "gateway/source/reader_duty.start_wait_s",
            "gateway/source/reader_duty.follow_wait_s",
            "gateway/source/discovery.DiscoveryWriter.due",
        ),
        inputs="ready gateways by zone, which of them are active, when the zone's"
        " reader was last heard (instant), upstreams by zone.",
        reason="Rendezvous hashing among the standby gateways of a zone, without a"
        " lease: too many or too few holders for a moment do no harm. While no reader"
        " is heard, the next in the order step in one after the other.",
        constants=(
            "gateway/source/reader_duty.READER_TIMEOUT_S",
            "gateway/source/reader_duty.FOLLOW_TIMEOUT_S",
            "gateway/source/reader_duty.MAX_UNCHECKED_S",
            "gateway/source/reader_duty.MAX_UNCHECKED_IN_REGION_S",
            "gateway/source/reader_duty.MIN_FOLLOW_S",
            "gateway/source/source_reader.CHECK_TIMEOUT_S",
            "gateway/source/source_reader.OVERDUE_S",
            "gateway/source/source_reader.DELAY_FACTOR",
            "gateway/source/reader_duty.TAKEOVER_STEP_S",
            "gateway/source/reader_duty.TAKEOVER_CANDIDATES",
            "gateway/source/reader_duty.MIN_FAILED_TAKEOVERS",
            "gateway/source/reader_duty.FAILED_TAKEOVER_WINDOW_S",
            "gateway/source/relay.POLL_PERIOD_S",
            "gateway/source/reader_duty.MIN_MEAN_START_WAIT_S",
            "gateway/source/relay.ANSWERED_START_WAIT_S",
            "gateway/cluster/duties.UPSTREAMS_PER_PROBER",
            "gateway/cluster/prober.PROBES_PER_SERVICE_TIME",
            "gateway/cluster/prober.MAX_PERIOD_S",
            "gateway/source/discovery.WRITE_DELAY_S",
            "gateway/source/discovery.MIN_WRITE_INTERVAL_S",
        ),
        events=("STORE_LOST", "STORE_BACK", "PEER_ADDRESS_REGISTERED"),
        tests=(
            Scenario("gateway", "those read first that callers will be sent to"),
            Scenario(
                "gateway", "the first reading begins when the wait for a peer ends"
            ),
            Scenario("gateway", "a fleet that starts has one reader a zone"),
            Scenario("gateway", "an outage of the source is not met by the whole zone"),
            Scenario(
                "gateway", "one that starts slowly, or is answered, waits for longer"
            ),
            Scenario("gateway", "a probed upstream has one prober with equal views"),
            Scenario("platform", "Few gateways read the store, and the others step in"),
            Scenario("readers_cut_off", "calls of readers end in turns"),
            Scenario(
                "readers_cut_off",
                "the next in rank reads at once where the reader stops",
            ),
        ),
    ),
    Rule(
        question="How long a vanished upstream still gets work",
        functions=(
            "gateway/source/listing.Listing.remove",
            "gateway/source/lease_expiry.is_in_outage",
            "gateway/source/relay.Relay.publish",
        ),
        inputs="when the store was back after an outage (instant), how long it was away"
        " (s), the share that vanished at once, state in the list.",
        reason="Leases that expire together right after the store was out of reach more"
        " likely expired in its outage than by a stop of the upstreams. One failed call"
        " is no outage: no lease expires in so short a time.",
        constants=(
            "gateway/source/lease_expiry.MIN_OUTAGE_S",
            "gateway/source/lease_expiry.GRACE_S",
            "gateway/source/lease_expiry.MASS_EXPIRY_SHARE",
            "gateway/source/relay.SETTLED_OFFSET",
        ),
        events=("UPSTREAM_LEAVING",),
        tests=(
            Scenario(
                "gateway", "entries that lapse with the store are kept for a while"
            ),
            Scenario("gateway", "entries that leave a sound store are dropped at once"),
            Scenario("gateway", "a watch that was cut is no outage of the source"),
            Scenario("gateway", "the grace after an outage counts from its end"),
            Scenario(
                "gateway", "the next reader's list replaces one that retains upstreams"
            ),
        ),
    ),
    Rule(
        question="What counts after the source was restored from a backup",
        functions=(
            "peers/documents.is_newer",
            "gateway/source/listing.Listing.is_newer_than",
            "gateway/source/withdrawals.Withdrawals.is_withheld",
            "gateway/rollout/orders.is_same_order",
        ),
        inputs="the era that the source reports, or none; the revision within it; which"
        " upstreams were draining or had ended, and which zones were evacuated, before"
        " the restore; service, target and time of orders.",
        reason="A restore decreases the revisions and may undo what was learned. The"
        " later era counts; what had left stays out of use until entries that nobody"
        " renews have expired.",
        constants=(
            "gateway/source/withdrawals.WITHHOLD_S",
            "gateway/source/withdrawals.ENDED_RETENTION_S",
        ),
        events=("UPSTREAMS_WITHDRAWN", "SOURCE_RESTORED"),
        tests=(
            Scenario("gateway", "lists are ordered by era, then by version within it"),
            Scenario("gateway", "withdrawn upstreams stay out of use after a restore"),
            Scenario("gateway", "an order rewritten after a restore keeps its run"),
            Scenario("store_restored", "Workers drain after the store is restored"),
        ),
    ),
    Rule(
        question="When an id of the list is another upstream than before",
        functions=(
            "gateway/source/leases.Lease.is_same_start",
            "gateway/source/leases.renewed",
            "kernel/upstream_set.UpstreamSet.set_listed",
            "gateway/cluster/load_exchange.LoadExchange.message_received",
        ),
        inputs="the start that its entry tells (Unix ms, or none), state, service, zone"
        " and address; of what peers report: its start, and how old it is (s).",
        reason="Who starts again holds and knows nothing of before, so nothing that was"
        " measured on the earlier start may count. Starts are compared for being equal"
        " only, as clocks jump; that an earlier one does not come back follows from"
        " the source's revisions. It is cold until it says otherwise.",
        constants=(),
        events=("UPSTREAM_RESTARTED",),
        tests=(
            Scenario(
                "upstream_entries",
                "an upstream that starts again begins with nothing known",
            ),
            Scenario(
                "upstream_entries",
                "what ran on an earlier start is judged by that alone",
            ),
            Scenario(
                "upstream_entries", "an earlier start of an upstream never comes back"
            ),
            Scenario(
                "upstream_entries",
                "a peer that leaves out starts makes no upstream another",
            ),
            Scenario(
                "platform_restarts",
                "What ran on a worker that starts again runs nowhere else, and is not"
                " denied",
            ),
        ),
    ),
    Rule(
        question="What becomes of an upstream whose entry can't be used",
        functions=(
            "gateway/source/listing.Listing.discard",
            "gateway/source/bad_items.BadItemLog.select_for_log",
        ),
        inputs="whether the entry can be read and is within bounds; which lines were"
        " written of it in the last minute.",
        reason="Its entry was written, so its lease did not merely expire: it gets no"
        " new work at once, like one that has left, until a good entry follows.",
        constants=(
            "gateway/source/bad_items.MAX_REMEMBERED_ITEMS",
            "gateway/source/bad_items.WINDOW_S",
            "gateway/source/bad_items.MAX_LINES_PER_ITEM",
            "gateway/source/bad_items.MAX_LINES",
        ),
        events=("SOURCE_ITEM_REFUSED",),
        tests=(
            Scenario(
                "upstream_entries",
                "an entry of another writer takes its upstream out of use",
            ),
            Scenario(
                "upstream_entries",
                "an entry of another writer has no grace after an outage",
            ),
            Scenario(
                "upstream_entries",
                "entries of another writer are told once, and of few lines",
            ),
            Scenario(
                "platform_restarts",
                "An entry of another writer takes its worker out of use",
            ),
        ),
    ),
    Rule(
        question="When a gateway is ready, leaves, takes nothing more",
        functions=(
            "gateway/lifecycle.phase_after",
            "gateway/lifecycle.stop_schedule",
            "gateway/lifecycle.StopSchedule.accepts",
            "gateway/gateway.Gateway.stop",
        ),
        inputs="whether both documents are known, settings `hand_out_s` and"
        " `stop_limit_s` (s), deadlines of requests.",
        reason="Ready with both documents. When stopping it serves on while callers"
        " may keep its address, soon only requests whose deadline is before its end,"
        " then refuses, and ends when what it took has ended.",
        constants=(
            "gateway/lifecycle.ADDRESS_CACHE_FACTOR",
            "gateway/lifecycle.IN_TRANSIT_S",
            "gateway/lifecycle.FINAL_DRAIN_S",
            "gateway/lifecycle.UNCONDITIONAL_ACCEPT_S",
            "gateway/lifecycle.FORCED_STOP_MARGIN_S",
            "gateway/lifecycle.MAX_FORCED_STOP_SHARE",
            "gateway/lifecycle.RESPONSE_S",
        ),
        events=("READY", "LEAVING", "STOP_FORCED", "STOPPED"),
        tests=(
            Scenario(
                "platform",
                "What comes late in a planned stop on an open connection is refused,"
                " not cut",
            ),
            Scenario(
                "planned_stops",
                "A stop of 10 s answers what it accepts late, and refuses the rest",
            ),
            Scenario(
                "platform",
                "Callers are told ready gateways, and a stopping one is told no more",
            ),
        ),
    ),
    Rule(
        question="At most once (entry daemon)",
        functions=(
            "entry/once.OnceTable.begin",
            "entry/once.refuse_before_home",
            "entry/claims.Claims.home_of",
            "entry/tickets.Mint.mint",
        ),
        inputs="request id (ticket or chosen), attempt number, incarnation, table of"
        " ids, claim in the store.",
        reason="Only the one process life that is the home of an id may run it; its"
        " table decides whether to run, join, replay or refuse.",
        constants=(
            "entry/tickets.LIFETIME_S",
            "entry/once.MAX_KEPT_BODY",
            "entry/claims.MAX_CLAIM_WAIT_S",
        ),
        events=("OUTCOME_UNKNOWN", "ID_TABLE_FULL"),
        tests=(
            Scenario("faults", "A booking resent through another host runs once"),
            Scenario(
                "faults", "A booking whose entry was killed is unknown, and stays so"
            ),
            Scenario(
                "invariants", "Requests that may not be repeated, resent everywhere"
            ),
        ),
    ),
)
