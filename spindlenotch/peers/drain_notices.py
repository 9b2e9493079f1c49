"""
The drain notices that a member knows, and which of them a message carries.

A notice says that an upstream is leaving. It stays until its generation is
superseded, so that members that join later get it too: a new notice goes into
the next messages first, afterwards old ones are picked at random.
"""

import collections
import random
from collections import abc

from spindlenotch.peers import messages

#: Messages that carry a new notice before older ones.
DRAIN_NOTICE_REPEATS = 12
#: The oldest notice goes first beyond this.
MAX_DRAIN_NOTICES = 4096


class DrainNotices:
    """
    Known drain notices, in the order in which they became known.

    ``repeats_by_drain_notice`` counts the messages that a notice still goes
    into first.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.repeats_by_drain_notice: collections.OrderedDict[
            messages.DrainNotice, int
        ] = collections.OrderedDict()

    def add(self, notice: messages.DrainNotice) -> bool:
        """Add a notice; tell whether it was unknown."""
        if notice in self.repeats_by_drain_notice:
            return False
        if len(self.repeats_by_drain_notice) >= MAX_DRAIN_NOTICES:
            self.repeats_by_drain_notice.popitem(last=False)
        self.repeats_by_drain_notice[notice] = DRAIN_NOTICE_REPEATS
        return True

    def forget(self, superseded: abc.Iterable[messages.DrainNotice]) -> None:
        """Drop notices whose generation is superseded."""
        for notice in superseded:
            self.repeats_by_drain_notice.pop(notice, None)

    def next_batch(self) -> tuple[messages.DrainNotice, ...]:
        """Return the notices for the next message: new ones, then old ones."""
        repeats = self.repeats_by_drain_notice
        new = [notice for notice, left in repeats.items() if left > 0]
        batch = new[-messages.DRAIN_NOTICES_PER_MESSAGE :]
        for notice in batch:
            repeats[notice] -= 1
        room = messages.DRAIN_NOTICES_PER_MESSAGE - len(batch)
        if room and len(batch) < len(repeats):
            old = [notice for notice, left in repeats.items() if left <= 0]
            batch += self.rng.sample(old, min(room, len(old)))
        # A notice that had its last repeat above may have been picked as old too.
        return tuple(dict.fromkeys(batch))
