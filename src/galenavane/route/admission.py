"""Decides which requests of one pool wait, and which are refused before they do."""

from __future__ import annotations

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.route import decision, fair_queue, rate, waiting

MAX_WAITING = 1_000
MAX_ACCOUNT_WAITING = 250
MIN_GRANTS_PER_SECOND = 0.5
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class Admission:
    """Waiting requests of one pool, and how fast they have lately got groups.

    :ivar granted: grants a second by priority class.
    :ivar inversions: grants made while a higher class waited.
    """

    __slots__ = ("granted", "inversions", "queue")

    def __init__(self) -> None:
        self.queue = fair_queue.FairQueue()
        self.granted: dict[int, rate.Rate] = {}
        self.inversions = 0

    def predict_wait(self, item: waiting.Waiting, now: float) -> float:
        """Return the predicted time in seconds until a new request gets a group."""
        ask = item.ask
        ahead = self.queue.ahead(ask.priority, ask.account, item.weight)
        if ahead == 0:
            return 0.0
        left = sum(one.value(now) for key, one in self.granted.items() if key >= ask.priority)
        return ahead / max(left, MIN_GRANTS_PER_SECOND)

    def offer(
        self, item: waiting.Waiting, least_seconds: float, now: float
    ) -> list[decision.Refused]:
        """Queue a request, or refuse it or another one.

        :param least_seconds: shortest predicted time from grant to first token.
        """
        wait = self.predict_wait(item, now)
        if now + wait + least_seconds > item.ask.deadline:
            late = now + wait + least_seconds - item.ask.deadline
            return [refuse(item, codes.Code.DEADLINE, _late_text(wait), late)]
        refused: list[decision.Refused] = []
        if self.queue.waiting_of(item.ask.account) >= MAX_ACCOUNT_WAITING:
            text = f'account "{item.ask.account}" has {MAX_ACCOUNT_WAITING} requests waiting'
            return [refuse(item, codes.Code.QUEUE_FULL, text, wait)]
        if self.queue.size >= MAX_WAITING:
            loser = self._loser(item)
            text = f"{MAX_WAITING} requests wait already"
            refused.append(refuse(loser, codes.Code.QUEUE_FULL, text, wait))
            if loser is item:
                return refused
            self.queue.remove(loser)
        self.queue.push(item)
        return refused

    def _loser(self, item: waiting.Waiting) -> waiting.Waiting:
        """Return whom a full queue gives up: its lowest class and longest lane, else the new."""
        last = self.queue.last_of_lowest()
        assert last is not None
        if last.ask.priority > item.ask.priority:
            return last
        is_longer = self.queue.waiting_of(last.ask.account) > 1 + self.queue.waiting_of(
            item.ask.account
        )
        return last if last.ask.priority == item.ask.priority and is_longer else item

    def grant(self, item: waiting.Waiting, now: float) -> None:
        """Remove a request from the queue because it gets a group."""
        head = self.queue.head()
        if head is not None and head.ask.priority < item.ask.priority:
            self.inversions += 1
        self.queue.pop(item)
        self.granted.setdefault(item.ask.priority, rate.Rate()).add(1.0, now)

    def expire(self, now: float) -> list[decision.Refused]:
        """Refuse what has waited until its deadline."""
        late = [item for item in self.queue.items() if item.ask.deadline <= now]
        for item in late:
            self.queue.remove(item)
        text = "no group got free before the deadline"
        return [refuse(item, codes.Code.DEADLINE, text, 0.0) for item in late]


def refuse(
    item: waiting.Waiting, code: codes.Code, text: str, retry_after_seconds: float
) -> decision.Refused:
    """Build a refusal with a retry time inside the bounds."""
    wait = min(max(retry_after_seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
    found = failure.Failure(code, text, retry_after_seconds=wait)
    return decision.Refused(item.ask.request_id, found)


def _late_text(wait: float) -> str:
    return f"the predicted wait of {wait:.1f} s passes the deadline"
