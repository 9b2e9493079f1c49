"""
Tracks copies of requests that may still arrive at their upstreams.

A request that is retried or hedged has several copies. An upstream that was suspended
reads what was sent to it when it resumes, even over a connection that was closed or
reset in the meantime: a copy cannot be recalled. So the repeats of a request, its
copies beyond the first, have all arrived only once all copies but one are known to be
read; until then they may arrive at any time. Performs no I/O and reads no clock. Relies
on ``upstreams`` for what has been read.
"""

import msgspec

from spindlenotch import ids
from spindlenotch.kernel import extra_budgets, upstreams

#: Seconds after which an unread copy is assumed lost with its upstream if nothing is
#: heard from that: longer than hosts are suspended or cut off from the network.
UNREAD_TIMEOUT_S = 60.0
#: Seconds after which a copy counts as read late: more than the network delay of a
#: request plus the period of the load reports, which show that it was read.
LATE_READ_S = 1.0


class _Request(msgspec.Struct, eq=False):
    """A request that was sent more than once; counts ``sent`` and ``unread`` copies."""

    sent: int = 0
    unread: int = 0

    @property
    def pending(self) -> int:
        """Return how many of its repeats may still arrive."""
        return min(self.sent - 1, self.unread)


class _Copy(msgspec.Struct, eq=False):
    """A copy of a request that is not known to have been read."""

    request: _Request
    upstream: upstreams.Upstream
    sent_at: ids.Instant


class LateRead(msgspec.Struct, frozen=True):
    """An upstream that read ``count`` copies late, up to ``after_s`` after sending."""

    upstream: ids.UpstreamId
    count: int
    after_s: float


class CopyTracker:
    """
    Tracks the repeats of one service's requests that may still arrive.

    Invariant: the unsettled count of the budgets is the sum of ``pending`` over the
    requests in ``_request_by_call`` and in ``_unread``.
    """

    def __init__(self, extra: extra_budgets.ExtraBudgets) -> None:
        self.extra = extra
        self._request_by_call: dict[ids.CallId, _Request] = {}
        self._unread: list[_Copy] = []
        self._late_by_upstream: dict[ids.UpstreamId, LateRead] = {}

    def record_first(
        self,
        call: ids.CallId,
        upstream: upstreams.Upstream,
        sent_at: ids.Instant,
        *,
        is_read: bool,
    ) -> None:
        """Record the first copy of a request to be sent again, unless tracked."""
        if call in self._request_by_call:
            return
        if is_read:
            self._request_by_call[call] = _Request(sent=1)
        else:
            self.sent(call, upstream, sent_at)

    def sent(
        self, call: ids.CallId, upstream: upstreams.Upstream, sent_at: ids.Instant
    ) -> None:
        """Record that a copy of a request is sent."""
        request = self._request_by_call.setdefault(call, _Request())
        request.sent += 1
        request.unread += 1
        self._unread.append(_Copy(request, upstream, sent_at))

    def ended(
        self, call: ids.CallId, upstream: upstreams.Upstream, now: ids.Instant
    ) -> None:
        """Record that a copy was answered or lost, so it can no longer arrive."""
        request = self._request_by_call.get(call)
        if request is None:
            return
        for copy in self._unread:
            if copy.request is request and copy.upstream is upstream:
                self._unread.remove(copy)
                self._settle_copy(copy, now)
                return

    def forget(self, call: ids.CallId) -> None:
        """Record that no more copies of a request will be sent."""
        self._request_by_call.pop(call, None)

    def settle_read(self, now: ids.Instant) -> None:
        """Settle the copies that have been read by now or have timed out."""
        still_unread = []
        for copy in self._unread:
            is_read = copy.upstream.liveness.read_until > copy.sent_at
            if is_read or now - copy.sent_at > UNREAD_TIMEOUT_S:
                self._settle_copy(copy, now)
                if is_read and now - copy.sent_at > LATE_READ_S:
                    self._record_late_read(copy.upstream.spec.id, now - copy.sent_at)
            else:
                still_unread.append(copy)
        self._unread = still_unread

    def take_late_reads(self) -> list[LateRead]:
        """Return and clear the late reads since the last call."""
        late = list(self._late_by_upstream.values())
        self._late_by_upstream.clear()
        return late

    def _record_late_read(self, upstream: ids.UpstreamId, after_s: float) -> None:
        """Add a late read, in one entry per upstream: it may never be collected."""
        before = self._late_by_upstream.get(upstream, LateRead(upstream, 0, 0.0))
        self._late_by_upstream[upstream] = LateRead(
            upstream, before.count + 1, max(before.after_s, after_s)
        )

    def _settle_copy(self, copy: _Copy, now: ids.Instant) -> None:
        request = copy.request
        before = request.pending
        request.unread -= 1
        for _ in range(before - request.pending):
            self.extra.settle(now)
