"""
Which repeats of requests may yet arrive at their upstreams.

What was sent to an upstream that stands still is read when it goes on, also over a
connection that was closed or reset meanwhile: nothing takes it back. So a repeat has
arrived only once all but one of its request's copies are known to be read, and until
then it may arrive at any time. Pure; relies on ``upstreams`` for what has been read.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import extra_budgets, upstreams

#: Seconds after which a copy is taken to be lost with its upstream, if nothing is heard
#: of that: longer than hosts are suspended or cut off.
MOST_UNREAD_S = 60.0
#: Seconds after which a copy has been read late: more than a request's way and the
#: period of the reports, by which it shows, take together.
LATE_S = 1.0


class _Request(msgspec.Struct, eq=False):
    """A request that was sent more than once; ``unread`` of ``sent`` copies may be."""

    sent: int = 0
    unread: int = 0

    @property
    def pending(self) -> int:
        """Return how many of its repeats may yet arrive."""
        return min(self.sent - 1, self.unread)


class _Copy(msgspec.Struct, eq=False):
    """A copy of a request that may not have been read."""

    request: _Request
    upstream: upstreams.Upstream
    sent_at: ids.Instant


class LateRead(msgspec.Struct, frozen=True):
    """An upstream that has read ``count`` copies late, the oldest by ``after_s``."""

    upstream: ids.UpstreamId
    count: int
    after_s: float


class Repeats:
    """
    The repeats of one service's requests that may yet arrive.

    Invariant: what the budgets hold as unsettled is the sum of ``pending`` over the
    requests of ``_request_by_call`` and of ``_unread``.
    """

    def __init__(self, extra: extra_budgets.ExtraBudgets) -> None:
        self.extra = extra
        self._request_by_call: dict[ids.CallId, _Request] = {}
        self._unread: list[_Copy] = []
        self._late_by_upstream: dict[ids.UpstreamId, LateRead] = {}

    def begin(
        self,
        call: ids.CallId,
        upstream: upstreams.Upstream,
        sent_at: ids.Instant,
        *,
        is_read: bool,
    ) -> None:
        """Take in the first copy of a request that is sent again, unless known."""
        if call in self._request_by_call:
            return
        if is_read:
            self._request_by_call[call] = _Request(sent=1)
        else:
            self.sent(call, upstream, sent_at)

    def sent(
        self, call: ids.CallId, upstream: upstreams.Upstream, sent_at: ids.Instant
    ) -> None:
        """Take in that a copy of a request goes out."""
        request = self._request_by_call.setdefault(call, _Request())
        request.sent += 1
        request.unread += 1
        self._unread.append(_Copy(request, upstream, sent_at))

    def ended(
        self, call: ids.CallId, upstream: upstreams.Upstream, now: ids.Instant
    ) -> None:
        """Take in that a copy was answered or is lost: it will not arrive any more."""
        request = self._request_by_call.get(call)
        if request is None:
            return
        for copy in self._unread:
            if copy.request is request and copy.upstream is upstream:
                self._unread.remove(copy)
                self._settle(copy, now)
                return

    def forget(self, call: ids.CallId) -> None:
        """Take in that no more copies of a request go out."""
        self._request_by_call.pop(call, None)

    def look(self, now: ids.Instant) -> None:
        """Settle what has been read by now."""
        still_unread = []
        for copy in self._unread:
            is_read = copy.upstream.liveness.read_until > copy.sent_at
            if is_read or now - copy.sent_at > MOST_UNREAD_S:
                self._settle(copy, now)
                if is_read and now - copy.sent_at > LATE_S:
                    self._note_late(copy.upstream.spec.id, now - copy.sent_at)
            else:
                still_unread.append(copy)
        self._unread = still_unread

    def take_late(self) -> list[LateRead]:
        """Return which upstreams have read copies late since this was asked last."""
        late = list(self._late_by_upstream.values())
        self._late_by_upstream.clear()
        return late

    def _note_late(self, upstream: ids.UpstreamId, after_s: float) -> None:
        """Add to what is told; kept in one row each, as nobody may ever ask."""
        before = self._late_by_upstream.get(upstream, LateRead(upstream, 0, 0.0))
        self._late_by_upstream[upstream] = LateRead(
            upstream, before.count + 1, max(before.after_s, after_s)
        )

    def _settle(self, copy: _Copy, now: ids.Instant) -> None:
        request = copy.request
        before = request.pending
        request.unread -= 1
        for _ in range(before - request.pending):
            self.extra.settle(now)
