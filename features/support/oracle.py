"""
Judges a virtual fleet by the upstreams' ledger and by what callers got.

The checks change nothing in the fleet. Of the rules by which the machines play
they know only which bookings there are and which hosts were ever frozen.
"""

import typing
from collections import abc

from features.support import virtual_fleet
from spindlenotch.entry import probe_lease
from spindlenotch.kernel import outcomes

#: A run may begin this long after its caller's deadline, in seconds: a stall
#: that is too short to be detected, and the time on the way.
LATE_SLACK_S = 0.15
#: A known leaving upstream gets no work after this time, in seconds. Chosen,
#: not measured.
LEAVING_LIMIT_S = 5.0
#: Requests already on their way when the first refusal arrives get there within
#: this time, in seconds.
IN_FLIGHT_LIMIT_S = 0.1


class Oracle:
    """What must hold for a fleet; see docs/INVARIANTS.md."""

    def __init__(
        self,
        fleet: virtual_fleet.VirtualFleet,
        bookings: abc.Collection[str],
        frozen_hosts: abc.Collection[str],
    ) -> None:
        self.fleet = fleet
        self.bookings = bookings
        self.frozen_hosts = frozen_hosts
        self.checked_runs = 0

    def check_runs(self) -> None:
        """A booking runs at most once, and never after "not run"."""
        runs_by_work: dict[str, list[typing.Any]] = {}
        for run in self.fleet.upstreams.ledger:
            runs_by_work.setdefault(run.work, []).append(run)
        for work in self.bookings:
            runs = runs_by_work.get(work, [])
            assert len(runs) <= 1, f"{work} ran {len(runs)} times"
            for attempt in self.fleet.attempts_by_work[work]:
                self._check_outcome(attempt, runs)
        for run in self.fleet.upstreams.ledger[self.checked_runs :]:
            self._check_in_time(run)
        self.checked_runs = len(self.fleet.upstreams.ledger)

    def check_answers(self) -> None:
        """Whoever gets an answer gets the whole of its own."""
        for work, attempts in self.fleet.attempts_by_work.items():
            for attempt in attempts:
                if attempt.outcome is outcomes.Outcome.RAN and attempt.body:
                    assert attempt.body.endswith(f" ran {work}".encode()), attempt

    def check_versions(self) -> None:
        """No life of an entry goes back to an older bundle."""
        accepted_version = self.fleet.stored_version()
        for entry in self.fleet.entries:
            version = virtual_fleet.document_version(entry)
            assert version <= accepted_version, "a bundle nobody accepted is in force"
            if entry.versions and version < entry.versions[-1]:
                raise AssertionError(f"{entry.host} went back to {version}")
            entry.versions.append(version)

    def check_drained_upstreams(self) -> None:
        """An entry that an upstream refused as draining sends it nothing more."""
        never_frozen = {
            entry.address
            for entry in self.fleet.entries
            if entry.host not in self.frozen_hosts
        }
        for state in self.fleet.upstreams.upstream_by_address.values():
            times_by_entry: dict[str, list[float]] = {}
            for when, address in state.late_requests:
                if address in never_frozen:
                    times_by_entry.setdefault(address, []).append(when)
            for times in times_by_entry.values():
                assert times[-1] - times[0] <= IN_FLIGHT_LIMIT_S, (state.name, times)

    def check_probes(self) -> None:
        """No upstream gets more probes in a second than the bundle allows."""
        entry = self.fleet.entries[0]
        bundle = entry.state.bundle
        if bundle is None:
            return
        allowed = probe_lease.probes_per_window(
            bundle, next(iter(bundle.service_by_name.values()))
        )
        for state in self.fleet.upstreams.upstream_by_address.values():
            times = state.probe_times
            for first, last in zip(times, times[allowed:], strict=False):
                assert last - first >= 1.0 - 1e-6, "too many probes in a second"

    def check_all_serve_newest(self) -> None:
        """Every living entry serves, with the newest accepted bundle in force."""
        newest = self.fleet.stored_version()
        for entry in self.fleet.living():
            version = virtual_fleet.document_version(entry)
            assert version == newest, f"{entry.host} has {version}, not {newest}"
            assert entry.state.readiness.serves, f"{entry.host} does not serve"

    def check_nothing_held(self) -> None:
        """No entry holds a slot or keeps a request waiting."""
        for entry in self.fleet.living():
            for service in entry.state.balancer_by_service.values():
                held = [u.outstanding for u in service.pool.upstream_by_id.values()]
                assert not any(held), f"slots not given back: {held}"
                assert not len(service.queue), "calls still wait"

    def upstreams_known_to_leave(self) -> set[str]:
        """
        Return the upstreams of which the list or an entry knows that they leave.

        One that nobody can know of (the list does not show it, no request and
        no probe has reached it) is found by its first refusal instead.
        """
        return {
            state.name
            for state in self.fleet.upstreams.upstream_by_address.values()
            if self._is_known_to_leave(state.name)
        }

    def check_leaving_upstreams(self, known: set[str], calm_since: float) -> None:
        """No ``known`` upstream that left long ago got work after ``calm_since``."""
        for state in self.fleet.upstreams.upstream_by_address.values():
            late = [when for when, _ in state.late_requests if when > calm_since]
            left_long_ago = state.leaving_since is not None and (
                calm_since - state.leaving_since > LEAVING_LIMIT_S
            )
            if left_long_ago and state.name in known:
                assert not late, f"{state.name} got work {late[0] - calm_since} s later"

    def _is_known_to_leave(self, name: str) -> bool:
        record = self.fleet.hosts.record_by_id[name]
        if record["state"] == "leaving":
            return True
        return any(
            mark.upstream == name and mark.generation == record["generation"]
            for entry in self.fleet.living()
            for mark in entry.state.gossip.repeats_by_drain_notice
        )

    def _check_outcome(
        self, attempt: virtual_fleet.Attempt, runs: list[typing.Any]
    ) -> None:
        if attempt.outcome is outcomes.Outcome.NOT_RUN:
            wrong = [run for run in runs if run.attempt <= attempt.number]
            assert not wrong, f"refused as not run, yet it ran: {attempt} {wrong}"
        if attempt.outcome is outcomes.Outcome.RAN:
            assert runs, f"said to have run, but did not: {attempt}"

    def _check_in_time(self, run: typing.Any) -> None:
        attempts = self.fleet.attempts_by_work[run.work]
        in_time = [
            a for a in attempts if a.sent_at <= run.at <= a.deadline + LATE_SLACK_S
        ]
        assert in_time, f"ran after every caller had gone: {run} {attempts}"
