"""
What must hold of a play, judged by what callers and upstreams saw.

Each check is registered with a function that yields one line for each violation.
Bounds in time hold for gateways in touch: those that no fault hit from the time
``TOUCH_S`` before.
"""

import bisect
import collections
import itertools
from collections import abc

from features.support import repeat_sum, worker_records
from spindlenotch import registry
from tools.soak_processes import ledger as ledgers, world as worlds

Check = abc.Callable[[ledgers.Ledger], abc.Iterator[str]]
CHECKS: registry.Registry[Check] = registry.Registry("check")
Ledger = ledgers.Ledger

TOUCH_S = worlds.BOUNDS["touchS"]
#: How much later than its deadline an answer may come, in seconds; and how many, or
#: what part, of the answers that are still due then may be later than that.
LATE_S, MOST_LATE, LATE_SHARE = 0.5, 8, 0.25
#: Later than this nobody may be left, in seconds.
FORGOTTEN_S = 2.5
#: Bad answers that tell a version to be bad.
TELLING_ANSWERS = 50
RECOVERY_S = 15.0
#: Smallest ratio of the shares served at gateways cut off from all upstreams and at
#: others, and how many, and what part of all, may fail there whatever the ratio.
MIN_CUT_SERVED_RATIO, CUT_FAILED, CUT_FAILED_SHARE = 2 / 3, 10, 0.02
MISSING = 404
#: Ways of upstreams that give whole answers.
WHOLE_MODES = (worker_records.Mode.GOOD, worker_records.Mode.SLOW)


def violations(ledger: Ledger) -> list[tuple[str, str]]:
    """Return the violations of all checks, with the name of each check."""
    return [
        (name, line) for name in CHECKS.names() for line in CHECKS.get(name)(ledger)
    ]


def runs_text(ledger: Ledger, request: ledgers.Request) -> str:
    """Return where and when a request ran."""
    runs = ledger.runs_of(request.id)
    return ", ".join(f"at {upstream} at {run.at:.3f}" for upstream, run in runs)


@CHECKS.register("runs at most once")
def at_most_once(ledger: Ledger) -> abc.Iterator[str]:
    """What may run once ran once at most."""
    for request in ledger.request_by_id.values():
        if request.route.runs_once and len(ledger.runs_of(request.id)) > 1:
            yield f"{request}; ran {runs_text(ledger, request)}"


@CHECKS.register("not run is true")
def not_run(ledger: Ledger) -> abc.Iterator[str]:
    """What may run once and was refused has not run, to the end of the play."""
    for request in ledger.request_by_id.values():
        is_refused = request.route.runs_once and request.status in ledgers.NOT_RUN
        if is_refused and ledger.runs_of(request.id):
            yield f"{request}; ran {runs_text(ledger, request)}"


@CHECKS.register("own whole answer")
def own_answer(ledger: Ledger) -> abc.Iterator[str]:
    """A success is the whole answer of an upstream that ran that very request."""
    for request in ledger.request_by_id.values():
        if not request.is_served:
            continue
        if not request.is_stamped or not request.has_own_body:
            yield f"{request}; stamped: {request.is_stamped}, not its own body"
        if not ledger.runs_of(request.id):
            yield f"{request}; ran nowhere"


@CHECKS.register("unchanged, to its own service")
def unchanged(ledger: Ledger) -> abc.Iterator[str]:
    """Upstreams run what callers sent, and only of routes that lead to them."""
    for worker in ledger.workers:
        service = ledger.service_by_upstream[worker.id]
        for run in worker.runs:
            request = ledger.request_by_id.get(run.request_id)
            if request is None or run.target != request.target:
                yield f"{run.request_id!r} {run.target!r} ran at {worker.id}, unsent"
            elif service not in request.route.services:
                yield f"{request}; ran at {worker.id} of {service}"


@CHECKS.register("only in allowed regions")
def allowed_regions(ledger: Ledger) -> abc.Iterator[str]:
    """A route that names regions is served in no other."""
    region_of = ledger.region_by_name
    for at, upstream, request, _ in ledger.arrivals:
        allowed = request.route.regions
        if allowed and not {region_of[upstream], region_of[request.node]} <= allowed:
            yield f"{request}; came to {upstream} at {at:.3f}"


@CHECKS.register("nothing new to upstreams that are closed")
def nothing_new(ledger: Ledger) -> abc.Iterator[str]:
    """Upstreams that leave, are unlisted or evacuated get nothing after a bound."""
    closed_by_upstream: dict[str, list[ledgers.Closed]] = {}
    for closed in ledger.closed:
        closed_by_upstream.setdefault(closed.upstream, []).append(closed)
    for at, upstream, request, _ in ledger.arrivals:
        for closed in closed_by_upstream.get(upstream, ()):
            since = at - closed.bound_s - TOUCH_S
            subjects = {request.node, upstream, ledgers.STORE}
            if not closed.since + closed.bound_s < at < closed.until:
                continue
            if not ledger.troubled(subjects, since, at):
                why = f"{closed.why} since {closed.since:.3f}"
                yield f"{request}; came to {upstream} at {at:.3f}, which {why}"


@CHECKS.register("cold upstreams get what they bear")
def cold(ledger: Ledger) -> abc.Iterator[str]:
    """All gateways together send a cold upstream no more a second than it bears."""
    bounds = worlds.BOUNDS
    most = worlds.COLD_PER_S * bounds["coldOvershoot"] + bounds["coldSlack"]
    for window in ledger.cold:
        times = [
            a.at
            for a in ledger.arrivals
            if a.upstream == window.upstream and window.since < a.at < window.until
        ]
        for at in times:
            count = bisect.bisect_right(times, at) - bisect.bisect_left(times, at - 1)
            if count > most:
                yield f"{window.upstream} got {count} in the second before {at:.3f}"
                break


@CHECKS.register("retries within the budget")
def retries(ledger: Ledger) -> abc.Iterator[str]:
    """In any window, all gateways' further tries at a service keep to its budget."""
    sent_at: dict[str, list[float]] = collections.defaultdict(list)
    again_at: dict[str, list[float]] = collections.defaultdict(list)
    for request in ledger.request_by_id.values():
        for service in request.route.services:
            sent_at[service].append(request.sent_at)
    seen: set[tuple[str, str]] = set()
    for at, upstream, request, _ in ledger.arrivals:
        service = ledger.service_by_upstream[upstream]
        if (service, request.id) in seen:
            again_at[service].append(at)
        seen.add((service, request.id))
    for service, times in again_at.items():
        worst = repeat_sum.worst(
            sorted(sent_at[service]),
            times,
            share=worlds.RETRY_SHARE,
            window_s=worlds.RETRY_WINDOW_S,
        )
        if worst.beyond > worlds.BOUNDS["retrySlack"]:
            yield f"{service}: {worst}"


@CHECKS.register("probes within their bound")
def probes(ledger: Ledger) -> abc.Iterator[str]:
    """Upstreams are asked for their health no more often than allowed."""
    seconds = ledger.ended_at - ledger.began_at
    asked = sum(len(worker.probed_at) for worker in ledger.workers)
    allowed = worlds.BOUNDS["probesPerS"] * seconds * len(ledger.workers)
    if asked > allowed:
        yield f"{asked} probes, {allowed:.0f} allowed"


@CHECKS.register("exposure to bad versions")
def exposure(ledger: Ledger) -> abc.Iterator[str]:
    """A bad version gets a bounded part, and nothing once it has shown itself."""
    for order in ledger.orders:
        if not order.is_bad:
            continue
        new = [w for w in ledger.workers if w.id in order.upstreams]
        there = [
            a
            for a in ledger.arrivals
            if order.ordered_at < a.at < order.due_at
            and ledger.service_by_upstream[a.upstream] == order.service
        ]
        at_new = [a for a in there if a.upstream in order.upstreams]
        bounds = worlds.BOUNDS
        most = bounds["exposureShare"] * len(there) + bounds["exposureSlack"]
        if len(at_new) > most:
            got = f"{len(at_new)} of {len(there)}"
            yield f"{order.version} got {got}, {most:.0f} allowed"
        good = worker_records.Mode.GOOD
        bad = sorted(r.at for w in new for r in w.runs if r.mode is not good)
        for at, upstream, request, _ in at_new:
            told = len(bad) >= TELLING_ANSWERS
            if not told or at <= bad[TELLING_ANSWERS - 1] + bounds["rollbackS"]:
                continue
            subjects = {request.node, ledgers.STORE}
            if not ledger.troubled(subjects, at - bounds["rollbackS"] - TOUCH_S, at):
                yield f"{request}; came to {upstream} at {at:.3f}, known to be bad"


@CHECKS.register("configuration in force and never back")
def configuration(ledger: Ledger) -> abc.Iterator[str]:
    """A gateway has a version in time, and within one life never an older one."""
    shown_at: dict[tuple[str, int], dict[int, float]] = collections.defaultdict(dict)
    asked = [r for r in ledger.request_by_id.values() if r.route.name[:6] == "since-"]
    for request in sorted(asked, key=lambda request: request.sent_at):
        version = int(request.route.name.removeprefix("since-"))
        life = (request.node, request.life)
        if request.is_served and request.ended_life == request.life:
            shown_at[life].setdefault(version, request.ended_at)
    for request in asked:
        version = int(request.route.name.removeprefix("since-"))
        if request.status != MISSING or request.is_stamped:
            continue
        since = request.sent_at - worlds.BOUNDS["configApplyS"]
        subjects = {request.node, ledgers.STORE}
        shown = shown_at[request.node, request.life]
        if any(v >= version and at < request.sent_at for v, at in shown.items()):
            yield f"{request}; it had shown version {version} before"
        elif ledger.acknowledged_at[version] < since and not ledger.troubled(
            subjects, since - TOUCH_S, request.sent_at
        ):
            yield f"{request}; version {version} was in the store in time"


@CHECKS.register("final answers in time")
def in_time(ledger: Ledger) -> abc.Iterator[str]:
    """What a gateway took gets a final answer soon after its deadline."""
    due = [
        request
        for request in ledger.request_by_id.values()
        if request.ended_at >= request.deadline_at
        and not request.error.startswith("not connected")
        and not ledger.troubled(
            {request.node}, request.sent_at - TOUCH_S, request.ended_at
        )
    ]
    late = [r for r in due if r.ended_at > r.deadline_at + LATE_S]
    if len(late) > max(MOST_LATE, LATE_SHARE * len(due)):
        first = f"{late[0]}, ended at {late[0].ended_at:.3f}"
        yield f"{len(late)} of {len(due)} late, as {first}"
    for request in late:
        if request.ended_at > request.deadline_at + FORGOTTEN_S:
            yield f"{request}; ended at {request.ended_at:.3f}"


@CHECKS.register("a planned stop cuts nothing")
def planned_stop(ledger: Ledger) -> abc.Iterator[str]:
    """What a gateway passed on is answered, also when the gateway is being stopped."""
    stops = [t for t in ledger.troubles if t.kind == "gateway-stopped"]
    others = [t for t in ledger.troubles if t.kind != "gateway-stopped" and t.excuses]
    broken = [r for r in ledger.request_by_id.values() if r.error[:10] == "broken off"]
    for request, stop in itertools.product(broken, stops):
        since, until = request.sent_at - TOUCH_S, request.ended_at
        runs = ledger.runs_of(request.id)
        if request.node not in stop.subjects or not runs:
            continue
        # Upstreams that break off themselves leave nothing to pass on.
        if any(run.mode not in WHOLE_MODES for _, run in runs):
            continue
        if not stop.began_at < until < stop.began_at + worlds.GRACE_S:
            continue
        if not any(t.began_at <= until and t.ended_at >= since for t in others):
            yield f"{request}; ran {runs_text(ledger, request)}"


@CHECKS.register("callers of gateways cut off are served")
def served_beside(ledger: Ledger) -> abc.Iterator[str]:
    """Callers of gateways cut off from all upstreams are served as those of others."""
    for trouble in ledger.troubles:
        if not trouble.kind.startswith(ledgers.CUT_OFF):
            continue
        since = trouble.began_at + TOUCH_S
        counted = [
            request
            for request in ledger.request_by_id.values()
            if since <= request.sent_at < trouble.ended_at
            and not ledger.troubled({request.node}, since, request.sent_at)
        ]
        # What may run only once is sent over new connections, unlike the others.
        once_only = [request for request in counted if request.route.runs_once]
        for requests in (counted, once_only):
            yield from _served_far_less(requests, trouble.subjects)


def _served_far_less(
    requests: list[ledgers.Request], nodes: abc.Set[str]
) -> abc.Iterator[str]:
    """Yield a line if ``nodes`` served far less of the requests than others did."""
    cut = [request for request in requests if request.node in nodes]
    others = [request for request in requests if request.node not in nodes]
    failed = [request for request in cut if not request.is_served]
    ratio = _served_share(cut) / max(1e-9, _served_share(others))
    most = CUT_FAILED + CUT_FAILED_SHARE * len(requests)
    if ratio < MIN_CUT_SERVED_RATIO and len(failed) > most:
        yield f"{len(failed)} of {len(cut)} failed, as {failed[0]}"


def _served_share(requests: list[ledgers.Request]) -> float:
    served = sum(request.is_served for request in requests)
    return served / len(requests) if requests else 1.0


@CHECKS.register("recovery")
def recovery(ledger: Ledger) -> abc.Iterator[str]:
    """Most requests are served again soon after the last fault."""
    if ledger.recovered_after_s is None:
        yield f"not within {RECOVERY_S} s after the last fault"
