"""
Known drain notices, and the selection of those that the next message carries.

A notice announces that an upstream is leaving. It is kept until its generation is
superseded, so that members that join later receive it too: a new notice takes
precedence in the next messages, older ones are then picked at random.
"""

import collections
import random
from collections import abc

from spindlenotch.peers import messages

#: Number of messages in which a new notice takes precedence over older ones.
DRAIN_NOTICE_REPEATS = 12
#: Maximum number of notices; the oldest is evicted beyond this.
MAX_DRAIN_NOTICES = 4096


class DrainNotices:
    """
    Known drain notices, in the order in which they became known.

    ``repeats_by_drain_notice`` counts the further messages in which a notice takes
    precedence.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.repeats_by_drain_notice: collections.OrderedDict[
            messages.DrainNotice, int
        ] = collections.OrderedDict()

    def add(self, notice: messages.DrainNotice) -> bool:
        """Add a notice; return whether it was unknown."""
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
        """Return the notices for the next message, new ones before old ones."""
        repeats = self.repeats_by_drain_notice
        new = [notice for notice, left in repeats.items() if left > 0]
        batch = new[-messages.DRAIN_NOTICES_PER_MESSAGE :]
        for notice in batch:
            repeats[notice] -= 1
        room = messages.DRAIN_NOTICES_PER_MESSAGE - len(batch)
        if room and len(batch) < len(repeats):
            old = [notice for notice, left in repeats.items() if left <= 0]
            batch += self.rng.sample(old, min(room, len(old)))
        # A notice whose last repeat is counted above may also have been sampled as old.
        return tuple(dict.fromkeys(batch))
