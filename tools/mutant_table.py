"""
The mutants: one broken mechanism each, and what must go red with it.

``tools/mutants.py`` tries them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Mutant:
    """
    One broken mechanism: replace ``old`` by ``new`` in ``module``.

    ``held_by`` names the property that must go red; the machines where it is empty.
    With ``steps``, played on processes, it names a check of the soak.
    """

    name: str
    module: str
    old: str
    new: str
    held_by: str = ""
    steps: tuple[str, ...] = ()


MUTANTS = (
    Mutant(
        "a resend of a running request runs too",
        "entry/once",
        "            return Verdict.JOIN",
        "            return Verdict.RUN",
    ),
    Mutant(
        "a refused attempt may run after all",
        "entry/once",
        "if attempt <= record.attempt:",
        "if attempt < 0:",
    ),
    Mutant(
        "a refusal before the home always says not run",
        "entry/once",
        "if first_attempt or not has_id:",
        "if True:",
    ),
    Mutant(
        "a forged home: whoever is asked runs a claimed id",
        "entry/claims",
        "                return holder\n",
        "                return own_home\n",
    ),
    Mutant(
        "a broken connection is taken for not run",
        "forwarding/attempts",
        "self._may_have_run |= end.may_have_run",
        "self._may_have_run |= False",
    ),
    Mutant(
        "a deadline that passed in flight is taken for not run",
        "forwarding/attempts",
        "self._may_have_run = True",
        "self._may_have_run = False",
    ),
    Mutant(
        "a cancelled try keeps its slot",
        "forwarding/attempts",
        "grant, upstreams.Result.CANCELLED, None)\n        self._grant_by_task.clear()",
        "grant, upstreams.Result.CANCELLED, None) if 0 else None\n"
        "        self._grant_by_task.clear()",
    ),
    Mutant(
        "requests that lay unread in a frozen process count as fresh",
        "entry/readiness",
        "return self.stalled_from if now < self.backlog_until else now",
        "return now",
    ),
    Mutant(
        "an older bundle replaces a newer one",
        "peers/documents",
        "current.version:\n            return Offer.OLDER",
        "current.version:\n            return Offer.APPLIED",
    ),
    Mutant(
        "a new bundle is not passed on and the store not watched",
        "entry/store_reader",
        "            if stored.revision > self._revision:\n"
        "                self._offer(stored)",
        "            if stored.revision > self._revision + 10**6:\n"
        "                self._offer(stored)",
    ),
    Mutant(
        "the right to probe outlives its lease",
        "entry/probe_lease",
        "return self.revision > 0 and now < self.until",
        "return True",
    ),
    Mutant(
        "probes are not spaced",
        "kernel/budgets",
        "self.free_at = ids.later(now, self.spacing_s)",
        "self.free_at = now",
    ),
    Mutant(
        "an upstream that says it is draining is not heeded",
        "forwarding/attempts",
        "if answer.draining:",
        "if False:",
    ),
    Mutant(
        "another caller's answer is passed on",
        "entry/once_identity",
        'return once.OnceKey(f"ticket/{identity.ticket}")',
        'return once.OnceKey("ticket/same")',
    ),
    Mutant(
        "a cold upstream is sent to at any pace",
        "kernel/shared_rate",
        "if now < self.next_at:\n            return False",
        "if False:\n            return False",
        held_by="cold upstreams get no more than they bear, by one owner",
    ),
    Mutant(
        "every gateway owns each cold upstream",
        "kernel/cold_start",
        "return allowed_per_s if owner(upstream_id, hosts) == local_host else 0.0",
        "return allowed_per_s",
        held_by="cold upstreams get no more than they bear, by one owner",
    ),
    Mutant(
        "an older health answer makes an upstream warm",
        "kernel/cold_start",
        "        if at <= self.reported_at:\n            return\n",
        "",
        held_by="the latest health answer says whether one is cold",
    ),
    Mutant(
        "an evacuated zone is never left",
        "gateway/source/leases",
        "return is_ready and now < self.leave_at",
        "return is_ready",
        held_by="nothing is sent to an evacuated zone after its bound",
    ),
    Mutant(
        "who learns of an upstream in an evacuated zone uses it",
        "gateway/source/listing",
        "renewed_lease.leave_at == ids.NEVER and listed.zone in self.evacuated_zones",
        "False",
        held_by="who starts while a zone is evacuated never uses it",
    ),
    Mutant(
        "a start again is taken for the earlier start",
        "gateway/source/listing",
        "if lease is not None and not lease.is_same_start(upstream):",
        "if False:",
        held_by="an upstream that starts again begins with nothing known",
    ),
    Mutant(
        "an earlier start that fails has the later one ejected",
        "kernel/upstream_set",
        "        known.retire()\n",
        "",
        held_by="what ran on an earlier start is judged by that alone",
    ),
    Mutant(
        "one that starts again counts as warm",
        "kernel/upstream_set",
        "            upstream.cold.assume_cold_since(now, now)\n",
        "",
        held_by="an upstream that starts again is cold",
    ),
    Mutant(
        "a late load record of an earlier start counts",
        "gateway/cluster/load_exchange",
        "        return at >= upstream.known_since\n    return False",
        "        return at >= upstream.known_since\n    return True",
        held_by="what peers report of another start is not taken in",
    ),
    Mutant(
        "probes of an earlier start go on",
        "gateway/cluster/prober",
        "return current is None or current.upstream is not previous.upstream",
        "return current is None",
        held_by="probes of an earlier start end with it",
    ),
    Mutant(
        "older changes bring back an earlier start",
        "gateway/state",
        "if changes.revision < self.listing.revision:",
        "if False:",
        held_by="an earlier start of an upstream never comes back",
    ),
    Mutant(
        "a peer that tells no start makes every upstream another",
        "gateway/source/leases",
        "    if lease is None or listed.born is not None:",
        "    if True:",
        held_by="a peer that leaves out starts makes no upstream another",
    ),
    Mutant(
        "an entry of another writer leaves the earlier lease in place",
        "gateway/state",
        "is_dropped = self.listing.discard(changes.unusable)",
        "is_dropped = False",
        held_by="an entry of another writer takes its upstream out of use",
    ),
    Mutant(
        "an entry of another writer has the grace after outages",
        "gateway/state",
        "            self.listing.discard(snapshot.unusable)\n",
        "",
        held_by="an entry of another writer has no grace after an outage",
    ),
    Mutant(
        "a zone that is taken back stays empty",
        "gateway/source/listing",
        "        lease.leave_at = ids.NEVER\n\n    def _schedule",
        "\n    def _schedule",
        held_by="a zone that is taken back is in use again at once",
    ),
    Mutant(
        "the reserve of retries is not divided by the size of the fleet",
        "gateway/service_defaults",
        "max(MIN_RESERVE_PARTS, RESERVE_PARTS_PER_GATEWAY * regions * largest)",
        "MIN_RESERVE_PARTS",
        "a fleet's retries keep to what all may send together",
    ),
    Mutant(
        "a process that starts anew has the reserve of the one before it",
        "gateway/service_defaults",
        "RESERVE_PARTS_PER_GATEWAY * regions * largest",
        "regions * largest",
        "a fleet's retries keep to what all may send together",
    ),
    Mutant(
        "each region has the whole reserve of retries",
        "gateway/service_defaults",
        "RESERVE_PARTS_PER_GATEWAY * regions * largest",
        "RESERVE_PARTS_PER_GATEWAY * largest",
        "a fleet's retries keep to what all may send together",
    ),
    Mutant(
        "a gateway without others in view takes itself for a small fleet",
        "gateway/service_defaults",
        "ASSUMED_FLEET_SIZE if size.is_alone else size.largest",
        "size.largest",
        "a fleet's retries keep to what all may send together",
    ),
    Mutant(
        "retries that were earned are kept for later",
        "kernel/budgets",
        "remaining_share = math.exp(",
        "remaining_share = 1.0 + 0.0 * math.exp(",
        "a fleet's retries keep to what all may send together",
    ),
    Mutant(
        "a low rate of requests earns nothing",
        "kernel/budgets",
        "return max(0.0, 1.0 - self.reserve)",
        "return 0.0",
        "a low rate of requests still earns a retry",
    ),
    Mutant(
        "the size of the fleet is what is in view",
        "gateway/cluster/fleet_size",
        "return self._samples[0].count if self._samples else self.seen",
        "return self.seen",
        "the size of the fleet is the largest of the last minute",
    ),
    Mutant(
        "callers are told of gateways that are suspected",
        "gateway/cluster/fleet",
        "if not peer.missed and not peer.suspected",
        "if True",
        "callers are not told of a gateway that died",
    ),
    Mutant(
        "a version is tried outside the regions of a route",
        "decisions/traffic_split",
        "pool.allows(call, u) and ",
        "",
        "a version is tried only where a call may run",
    ),
    Mutant(
        "a region with most gateways takes them for most of the fleet",
        "gateway/cluster/quorum",
        "self.state.links is None and self.of_region()",
        "self.of_region()",
        "no region takes its gateways for most of the fleet",
    ),
    Mutant(
        "a reader's word counts in its own zone only",
        "gateway/cluster/fleet",
        "return not self.state.is_remote(zone)",
        "return zone == self.state.config.zone",
        "each region has one reader of the source",
    ),
    Mutant(
        "callers are sent to gateways that refuse them for their region",
        "gateway/cluster/region_exchange",
        "return self._addresses_of(links, permitted, (), allowed) or sorted(own)",
        "return self._addresses_of(links, permitted, own, allowed)",
        "where an allowed region is lost, such callers are sent to another",
    ),
    Mutant(
        "the reserve of retries that was used comes back by requests only",
        "kernel/budgets",
        "max(self._unspent, -float(self._in_use))",
        "self._unspent",
        "a reserve that was used is whole again after a window",
    ),
    Mutant(
        "a route is served in any region",
        "gateway/source/region_rules",
        "region != regions.UNNAMED_REGION and region in route.allowed_regions",
        "True",
        "elsewhere its requests are refused at once, and never run",
    ),
    Mutant(
        "a call leaves the regions of its route",
        "decisions/overflow",
        "pool.region_of(u) in open_regions and pool.allows(call, u)",
        "pool.region_of(u) in open_regions",
        "no try of a call leaves the regions in which it may run",
    ),
    Mutant(
        "calls wait though their regions have no upstream left",
        "kernel/upstream_set",
        "return allowed is None or self.region_of(upstream) in allowed",
        "return True",
        "calls that wait are refused once their regions have none",
    ),
    Mutant(
        "full regions get the calls of others",
        "decisions/overflow",
        "if used <= MAX_USED_SHARE",
        "if used <= MAX_USED_SHARE + 9",
        "regions that are all overrun keep to themselves",
    ),
    Mutant(
        "a summary grows younger on its way",
        "peers/region_links",
        "now - max(0.0, summary.age_s)",
        "now - 0.5 * max(0.0, summary.age_s)",
        "regions that lose each other go on, and meet again",
    ),
    Mutant(
        "members of other regions become peers",
        "peers/regional_gossip",
        "if self.links.is_remote(message.sender.zone):",
        "if False:",
        "a gateway's peers are those of its region, all of them",
    ),
    Mutant(
        "a lost region's callers are not expected",
        "gateway/cluster/failover_demand",
        "needed = _sum([own, _even_share(_sum(moved), parts)])",
        "needed = own",
        "what a lost region was asked is expected by the others",
    ),
    Mutant(
        "gateways send to cold upstreams of other regions",
        "kernel/upstream_set",
        "() if is_remote else hosts",
        "hosts",
        "nobody of another region sends to a cold upstream",
    ),
    Mutant(
        "documents are fetched from other regions all the time",
        "gateway/source/relay",
        "if not self.state.is_remote(sender.zone) or (",
        "if True or (",
        "documents of other regions count while no reader is heard",
    ),
    Mutant(
        "a version that is tried gets what it can take",
        "gateway/rollout/runs",
        "SHARE_MARGIN * share,",
        "10.0 * share,",
        held_by="what all processes send to a version stays in its share",
    ),
    Mutant(
        "a process that starts again has its whole share at once",
        "decisions/traffic_split",
        "self.answered = 0",
        "self.answered = 300",
        held_by="what all processes send to a version stays in its share",
    ),
    Mutant(
        "evidence that is told again counts again",
        "gateway/rollout/evidence_merging",
        "new = counts.minus(before.get(cell, rollout_notes.NO_COUNTS))",
        "new = counts",
        held_by="no evidence counts twice, however often it is told",
    ),
    Mutant(
        "a final status is written over",
        "gateway/rollout/decider_rules",
        "(sources.RolloutState.COMPLETED, sources.RolloutState.ROLLED_BACK)",
        "(sources.RolloutState.COMPLETED,)",
        held_by="a status only goes forward, and is written under conditions",
    ),
    Mutant(
        "a status is written whatever the source holds",
        "../platform/spindlenotch_platform/store",
        "            key: status.revision,\n",
        "",
        held_by="a status is written only in place of what was read",
    ),
    Mutant(
        "an order is completed while calls run on what it replaces",
        "gateway/rollout/runs",
        "return not any(upstream.outstanding for upstream in others)",
        "return True",
        held_by="a good version is completed in time, whatever else fails",
    ),
    Mutant(
        "a bad upstream is taken for its version",
        "gateway/rollout/sequential_test",
        "return sum(remaining[: len(remaining) - worst_count])",
        "return sum(remaining)",
        held_by="a few bad upstreams are not taken for their version",
    ),
    Mutant(
        "a tried version is judged by the guess that a process begins with",
        "gateway/rollout/usual_times",
        "if self._answers_by_route.get(route, 0) < MIN_ANSWERS:",
        "if True:",
        "a version that is slow in part is found by any gateway",
    ),
    Mutant(
        "answers are timed by whether their upstream is cold when they come",
        "gateway/rollout/evidence",
        "is_timed = not grant.to_cold",
        "is_timed = not grant.upstream.cold.is_cold(grant.sent_at)",
        "answers are timed by what was known when calls were sent",
    ),
    Mutant(
        "the others' failures in the moment count for nothing",
        "gateway/rollout/others_rates",
        "MIN_RATE_BY_SYMPTOM[symptom], fleet_rate, source_rate)",
        "MIN_RATE_BY_SYMPTOM[symptom], 0.0)",
        held_by="what strikes all versions alike speaks against none",
    ),
)
