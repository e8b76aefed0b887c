"""Tracks the joins that a target may still carry out.

A join without an answer may be carried out seconds later. The target then takes it even if it is a
member of a serving group by now, unless it has accepted a join of a higher epoch before.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class JoinHistory:
    """The joins that this holder of the lease sent to one process of a target.

    :ivar accepted_epoch: highest epoch that the target is known to have accepted, 0 for none.
    :ivar left_epoch: highest epoch whose group the target has answered to have left, 0 for none.
    :ivar sent: number of joins that were sent.
    :ivar unconditional: number of unanswered joins by epoch, without those that the target refuses.
    :ivar conditional: the same for joins that expect a command count. A target that has accepted
        another join of their epoch refuses those sent before it, since its count has changed.
    """

    accepted_epoch: int = 0
    left_epoch: int = 0
    sent: int = 0
    unconditional: dict[int, int] = dataclasses.field(default_factory=dict)
    conditional: dict[int, int] = dataclasses.field(default_factory=dict)


def is_known_free(history: JoinHistory, first_epoch: int, standby_epoch: int | None) -> bool:
    """Whether the target is in no group that may serve until a further join is sent to it.

    This follows from what the target has accepted and answered. That the list shows it in no group
    is no proof, since the list may be older.

    :param first_epoch: lowest epoch of this holder. A target that has accepted none of its epochs
        may still carry out joins of former holders.
    :param standby_epoch: epoch of the standby group that the target is listed in, ``None`` if it is
        listed in no group.
    """
    if history.accepted_epoch < first_epoch or count_outstanding(history) > 0:
        return False
    return history.accepted_epoch in (history.left_epoch, standby_epoch)


def count_outstanding(history: JoinHistory) -> int:
    """Return how many joins of this holder the target may still carry out."""
    return sum(history.unconditional.values()) + sum(history.conditional.values())


def may_send(history: JoinHistory, epoch: int) -> bool:
    """Whether a join is still of use, now that its first byte is about to be sent.

    Another join of its epoch may have been accepted meanwhile. If the target has also left the
    group since then, this one would take it back into a group that was given up.
    """
    return history.accepted_epoch < epoch and history.left_epoch < epoch


def record_sent(history: JoinHistory, epoch: int, is_conditional: bool) -> None:
    """Record that a join is sent."""
    history.sent += 1
    counts = history.conditional if is_conditional else history.unconditional
    counts[epoch] = counts.get(epoch, 0) + 1


def record_end(history: JoinHistory, epoch: int, is_conditional: bool) -> None:
    """Record that one join was answered or was not sent at all, so it has no further effect."""
    counts = history.conditional if is_conditional else history.unconditional
    remaining = counts.get(epoch, 0) - 1
    if remaining > 0:
        counts[epoch] = remaining
    else:
        counts.pop(epoch, None)


def note_leave(history: JoinHistory) -> int | None:
    """Return what ``record_left`` needs of the time before a leave is sent.

    :returns: the number of joins that were sent, ``None`` while one of them is outstanding.
    """
    return history.sent if count_outstanding(history) == 0 else None


def record_left(history: JoinHistory, epoch: int, sent_before: int | None) -> None:
    """Record that the target answered that it is not, or no longer, in the group of an epoch.

    If a join was outstanding or was sent meanwhile, the target may have carried it out after the
    leave, so the answer proves nothing.
    """
    if history.sent == sent_before:
        history.left_epoch = max(history.left_epoch, epoch)


def record_accepted(history: JoinHistory, epoch: int) -> None:
    """Record that the target accepted an epoch, so that it refuses all lower ones."""
    if epoch <= history.accepted_epoch:
        return
    history.accepted_epoch = epoch
    history.unconditional = {
        sent_epoch: number
        for sent_epoch, number in history.unconditional.items()
        if sent_epoch >= epoch
    }
    history.conditional = {
        sent_epoch: number
        for sent_epoch, number in history.conditional.items()
        if sent_epoch > epoch
    }
