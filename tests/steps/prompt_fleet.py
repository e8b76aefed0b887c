"""A simulated fleet without a network, in which one part of prompts crashes heads."""

from __future__ import annotations

import heapq
import itertools
import random

from galenavane.fleet import replica_group
from galenavane.route import prompt_suspects

MESSAGE_SECONDS = 0.005
DOWN_SECONDS = 3.0
POLL_SECONDS = 0.02
MAX_SENDS = 2
DEADLY = "dead"
SUBJECTS = 300


class Request:
    """A request and where it waits."""

    def __init__(self, entry, parts):
        self.entry = entry
        self.parts = parts
        self.sends = 0
        self.sent_at = 0.0
        self.hold_until = 0.0
        self.probed = set()
        self.head = None
        self.is_sound = DEADLY not in parts


class Fleet:
    """Entries, heads and the events between them; times are in seconds."""

    def __init__(self, entries, rate, heads, share, seed):
        self.rng = random.Random(seed)
        self.entries = [prompt_suspects.Suspects(3.0, 30.0, 3.0, 1.0) for _ in range(entries)]
        self.down_until = [0.0] * heads
        self.formations = [0] * heads
        self.waiting = [set() for _ in range(heads)]
        self.rate = rate
        self.share = share
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.crashes = self.sound = self.sound_refused = 0

    def at(self, delay, function, *args):
        """Call a function after some time."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), function, args))

    def run(self, seconds):
        """Run the fleet, with requests from the start on."""
        self.at(0.0, self.arrive)
        while self.events and self.events[0][0] <= seconds:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)

    def arrive(self):
        """Let the next client send its request to any entry."""
        self.at(self.rng.expovariate(self.rate), self.arrive)
        subject = int(SUBJECTS * self.rng.random() ** 3)
        parts = (f"first{self.rng.randrange(3)}", f"subject{subject}")
        if self.rng.random() < self.share:
            parts = (parts[0], DEADLY)
        request = Request(self.rng.randrange(len(self.entries)), parts)
        self.sound += request.is_sound
        request.hold_until = self.now + self.entries[0].hold_seconds
        self.send(request)

    def send(self, request):
        """Send a request to a head, unless its prompt is blocked."""
        suspects = self.entries[request.entry]
        decision = prompt_suspects.decide(suspects, request.parts, self.now)
        if decision.verdict is prompt_suspects.Verdict.HOLD and self.now < request.hold_until:
            self.at(POLL_SECONDS, self.send, request)
            return
        up = [head for head, until in enumerate(self.down_until) if until <= self.now]
        if decision.verdict is prompt_suspects.Verdict.REFUSE or not up:
            self.sound_refused += request.is_sound
            return
        for part in decision.parts:
            request.probed.add((part,))
            if prompt_suspects.record_probe(suspects, part, self.now):
                self.tell(request.entry, prompt_suspects.record_probe, part, self.now)
        head = self.rng.choice(up)
        request.sends += 1
        request.sent_at = self.now
        request.head = head
        self.waiting[head].add(request)
        self.at(self.rng.uniform(0.1, 0.4), self.begin, request, head, self.formations[head])

    def begin(self, request, head, formation):
        """Let a head begin to write an answer, unless it has crashed meanwhile."""
        if formation != self.formations[head] or self.is_taken_back(request):
            return
        if request.is_sound:
            self.waiting[head].discard(request)
            self.succeed(request.entry, request.parts)
        else:
            self.crash(head)

    def is_taken_back(self, request):
        """Whether the entry has closed the connection, since the prompt was blocked meanwhile."""
        decision = prompt_suspects.decide(self.entries[request.entry], request.parts, self.now)
        if (
            decision.verdict is not prompt_suspects.Verdict.REFUSE
            or decision.parts in request.probed
        ):
            return False
        self.waiting[request.head].discard(request)
        self.sound_refused += request.is_sound
        return True

    def succeed(self, entry, parts):
        """Clear the parts of a request, and tell the other entries what is news."""
        cleared = prompt_suspects.record_success(self.entries[entry], parts, self.now)
        if cleared:
            self.tell(entry, prompt_suspects.record_success, cleared, self.now)

    def tell(self, sender, function, *args):
        """Call a function for the suspects of all other entries, a message later."""
        for entry, suspects in enumerate(self.entries):
            if entry != sender:
                self.at(MESSAGE_SECONDS * self.rng.uniform(0.2, 1.0), function, suspects, *args)

    def crash(self, head):
        """Crash a head, let each entry report its waiting requests, and try them once more."""
        self.crashes += 1
        key = replica_group.Key(f"h{head}", self.formations[head])
        self.formations[head] += 1
        self.down_until[head] = self.now + DOWN_SECONDS
        waiting, self.waiting[head] = self.waiting[head], set()
        for request in sorted(waiting, key=lambda request: request.sent_at):
            suspects = self.entries[request.entry]
            for part in prompt_suspects.find_unproven(suspects, request.parts, self.now):
                waited = self.now - request.sent_at
                reporter = f"e{request.entry}"
                seen = prompt_suspects.Crash(key, self.now, waited, reporter, self.now)
                prompt_suspects.record_crash(
                    suspects, part, seen, True, self.rng.random(), self.now
                )
                self.tell(
                    request.entry,
                    prompt_suspects.record_crash,
                    part,
                    seen,
                    False,
                    self.rng.random(),
                    self.now,
                )
        for request in sorted(waiting, key=lambda request: request.sent_at):
            if request.sends < MAX_SENDS:
                request.hold_until = self.now + self.entries[0].hold_seconds
                self.send(request)
