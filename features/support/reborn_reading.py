"""A gateway that reads of upstreams which tell their start, and start again."""

import itertools
import typing

import msgspec

from features.steps import kernel
from features.support import store_reading
from spindlenotch import ids
from spindlenotch.decisions import verdicts
from spindlenotch.kernel import upstreams

NAME = ids.UpstreamId("u1")
FIRST = 1_700_000_000_002
#: A start that is later, by a clock that was set back meanwhile.
SECOND = 1_600_000_000_001
COLD_S = 3.0


class Playing(store_reading.Reading):
    """A gateway whose upstreams tell ``FIRST`` as their start."""

    def __init__(self) -> None:
        super().__init__()
        self.decider = self.state.balancer_by_service[store_reading.SERVICE]
        self.pool = self.decider.pool
        self.numbers = itertools.count()

    @property
    def upstream(self) -> upstreams.Upstream:
        """Return the upstream that starts again."""
        return self.pool.upstream_by_id[NAME]

    def tell(self, name: str = NAME, **changes: typing.Any) -> None:
        """Take in a new entry of an upstream."""
        self.follow(store_reading.item(name, store_reading.entry(**changes)))

    def start_again(self, **changes: typing.Any) -> None:
        """Let it start again under its id."""
        self.tell(**{"born": SECOND, "callSeq": 0, **changes})

    def start_again_unread(self) -> None:
        """Let it start again; the store holds that and nobody has read it."""
        by_name = {n: store_reading.entry() for n in store_reading.NAMES}
        by_name[NAME] = store_reading.entry(born=SECOND)
        self.store.items = tuple(store_reading.item(n, e) for n, e in by_name.items())

    def granted(self, *, repeatable: bool = True) -> verdicts.Grant:
        """Return a call's grant for that upstream."""
        now = self.clock.now()
        call = msgspec.structs.replace(
            kernel.call(0),
            repeatable=repeatable,
            id=ids.CallId(f"call-{next(self.numbers)}"),
            deadline=ids.later(now, 9.0),
        )
        others = set(self.pool.upstream_by_id) - {NAME}
        self.decider.attempted_by_call[call.id] = others
        grant = self.decider.offer(call, now)
        assert isinstance(grant, verdicts.Grant), grant
        assert grant.upstream is self.upstream
        # It was sent to none of those.
        self.decider.attempted_by_call[call.id] = {NAME}
        return grant

    def finish(self, grant: verdicts.Grant, result: upstreams.Result) -> None:
        """Let a call end."""
        report = upstreams.LoadReport(3, 3, 7.0)
        self.decider.finish(grant, result, report, self.clock.now())


def told(changes: dict[str, typing.Any]) -> store_reading.Plain:
    """Return an entry without the fields that are changed to None."""
    plain = store_reading.entry(**changes)
    return {name: value for name, value in plain.items() if value is not None}
