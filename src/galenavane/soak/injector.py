"""Carries out a schedule of faults on a simulated deployment."""

from __future__ import annotations

import random
from collections import abc

import trio

from galenavane.net import message
from galenavane.observe import events
from galenavane.simulate import deployment
from galenavane.soak import fault, operators, topology
from galenavane.standin import engine_faults, plain, platform_faults
from galenavane.store import instance

POLL_SECONDS = 0.1
LEAVING_UNTIL_KILL_SECONDS = 12.0
SLOW_CALL_SECONDS = 0.8
PLAIN_SECONDS = 0.15
MAX_LIST_LAG_SECONDS = 2.0
_Kind = fault.Kind


class Injector:
    """Faults under way and the switches that make them.

    :ivar active: faults that have begun and not ended.
    :ivar unquiet_at: when the last unplanned fault was under way.
    :ivar leaving_since: when the platform listed a target as leaving.
    """

    def __init__(
        self,
        made: deployment.Deployment,
        found: topology.Topology,
        rng: random.Random,
        ops: operators.Operators,
    ) -> None:
        self.made = made
        self.found = found
        self.rng = rng
        self.ops = ops
        self.active: list[fault.Fault] = []
        self.unquiet_at = 0.0
        self.leaving_since: dict[str, float] = {}
        self.list_lag_seconds = round(rng.uniform(0.0, MAX_LIST_LAG_SECONDS), 3)
        self.engine_faults = {
            one.name: engine_faults.Faults(
                checks_token=found.checks_token, report_lag_seconds=rng.uniform(0.0, 2.0)
            )
            for one in found.engines
        }
        self.plain_faults = {
            one.name: plain.Faults(slow_seconds=PLAIN_SECONDS) for one in found.plains
        }

    async def start_all(self) -> None:
        """Start every process of the run."""
        await self.made.start_platform()
        await self._set_platform()
        for one in self.found.engines + self.found.plains:
            await self.start(one.name)

    async def start(self, name: str) -> None:
        """Start a process as a new incarnation unless it is alive."""
        own = self.made.owners.get(name)
        if own is not None and own.is_alive:
            return
        self.leaving_since.pop(name, None)
        for one in self.found.entries:
            if one.name == name:
                await self.made.start_entry(name, one.data_centre)
        for one in self.found.engines:
            if one.name == name:
                await self.made.start_engine(
                    name, one.data_centre, one.fabric_domain, None, self.engine_faults[name]
                )
        for one in self.found.plains:
            if one.name == name:
                await self.made.start_plain(
                    name, one.data_centre, topology.PLAIN_SERVICE, self.plain_faults[name]
                )

    async def run(self, schedule: list[fault.Fault]) -> None:
        """Carry out a schedule and undo each fault when its time is over."""
        async with trio.open_nursery() as nursery:
            for one in schedule:
                nursery.start_soon(self._carry_out, one, trio.current_time())

    async def _carry_out(self, one: fault.Fault, start: float) -> None:
        await trio.sleep_until(start + one.at_seconds)
        events.log("fault.begin", fault=one.describe())
        self.active.append(one)
        await self._HOW[one.kind](self, one)
        self.active.remove(one)
        if one.kind in fault.PLATFORM:
            await self._set_platform()
        if not one.is_planned:
            self.unquiet_at = trio.current_time()
        events.log("fault.end", fault=one.describe())

    async def _kill(self, one: fault.Fault) -> None:
        for name in one.names:
            if self.made.owners[name].is_alive:
                self.made.kill(name)
        await trio.sleep(one.seconds)
        for name in one.names:
            await self.start(name)

    async def _freeze(self, one: fault.Fault) -> None:
        frozen = [self.made.owners[name] for name in one.names]
        for own in frozen:
            own.freeze()
        await trio.sleep(one.seconds)
        for own in frozen:
            own.thaw()

    async def _straggle(self, one: fault.Fault) -> None:
        faults = self.engine_faults[one.names[0]]
        faults.slow_factor = float(one.amount)
        await trio.sleep(one.seconds)
        faults.slow_factor = 1.0

    async def _silence_engine(self, one: fault.Fault) -> None:
        faults = self.engine_faults[one.names[0]]
        faults.silent = True
        await trio.sleep(one.seconds)
        faults.silent = False

    async def _lose_answers(self, one: fault.Fault) -> None:
        faults = self.plain_faults[one.names[0]]
        faults.lose_answers = True
        await trio.sleep(one.seconds)
        faults.lose_answers = False

    async def _cut(self, one: fault.Fault) -> None:
        sides = frozenset(one.names), frozenset(one.others)
        self.made.net.links.cut(*sides)
        await trio.sleep(one.seconds)
        self.made.net.links.mend(*sides)

    async def _silence(self, one: fault.Fault) -> None:
        for pair in self.made.net.open:
            if any(end.own.name in one.names for end in pair):
                for end in pair:
                    end.silent = True
        await trio.sleep(one.seconds)

    async def _cut_after(self, one: fault.Fault) -> None:
        with trio.move_on_after(one.seconds):
            while True:
                for pair in self.made.net.open:
                    end = self.rng.choice(pair)
                    is_meant = any(side.own.name in one.names for side in pair)
                    if is_meant and end.cut_after is None and self.rng.random() < 0.3:
                        end.cut_after = one.amount
                await trio.sleep(POLL_SECONDS)

    async def _disturb_platform(self, one: fault.Fault) -> None:
        await self._set_platform()
        await trio.sleep(one.seconds)

    async def _set_platform(self) -> None:
        kinds = {one.kind for one in self.active}
        rates = [one.amount for one in self.active if one.kind is _Kind.PLATFORM_RATE]
        faults = platform_faults.Faults(
            down=_Kind.PLATFORM_DOWN in kinds,
            slow_seconds=SLOW_CALL_SECONDS if _Kind.PLATFORM_SLOW in kinds else 0.0,
            lose_answers=_Kind.PLATFORM_LOSES_ANSWERS in kinds,
            silent_watch=_Kind.PLATFORM_SILENT_WATCH in kinds,
            calls_per_second=min(rates, default=0),
            list_lag_seconds=self.list_lag_seconds,
        )
        await self.made.call(self.made.platform, message.json_request("POST", "/faults", faults))

    async def _operate(self, one: fault.Fault) -> None:
        async with trio.open_nursery() as nursery:
            for number, preset in enumerate(one.names):
                nursery.start_soon(self.ops.switch, f"operator-{number}", preset)

    async def _stop_entry(self, one: fault.Fault) -> None:
        name = one.names[0]
        own = self.made.owners[name]
        self.made.stops[name].set()
        while own.is_alive:
            await trio.sleep(POLL_SECONDS)
        await trio.sleep(one.seconds)
        await self.start(name)

    async def _leave(self, one: fault.Fault) -> None:
        name = one.names[0]
        own = self.made.owners[name]
        if not own.is_alive or name in self.leaving_since:
            return
        self.leaving_since[name] = trio.current_time()
        await self.made.list_instance(self._describe_leaving(name))
        await trio.sleep(one.seconds + LEAVING_UNTIL_KILL_SECONDS)
        if own.is_alive:
            own.kill()
            self.made.net.reset_all(own)
        await trio.sleep(1.0)
        await self.start(name)

    def _describe_leaving(self, name: str) -> instance.Instance:
        where = str(self.made.targets[name])
        state = instance.State.LEAVING
        for one in self.found.engines:
            if one.name == name:
                return instance.Instance(
                    name,
                    where,
                    one.data_centre,
                    instance.Kind.ENGINE,
                    one.fabric_domain,
                    state=state,
                )
        place = next(one for one in self.found.plains if one.name == name)
        return instance.Instance(
            name,
            where,
            place.data_centre,
            instance.Kind.PLAIN,
            service=topology.PLAIN_SERVICE,
            state=state,
        )

    _HOW: abc.Mapping[fault.Kind, abc.Callable[[Injector, fault.Fault], abc.Awaitable[None]]] = {
        _Kind.KILL: _kill,
        _Kind.DARK_DOMAIN: _kill,
        _Kind.FREEZE: _freeze,
        _Kind.STRAGGLER: _straggle,
        _Kind.ENGINE_SILENT: _silence_engine,
        _Kind.LOSE_ANSWERS: _lose_answers,
        _Kind.CUT: _cut,
        _Kind.SILENT_CONNECTIONS: _silence,
        _Kind.CUT_AFTER: _cut_after,
        _Kind.SWITCH_PRESET: _operate,
        _Kind.OPERATOR_RACE: _operate,
        _Kind.STOP_ENTRY: _stop_entry,
        _Kind.LEAVE: _leave,
        **dict.fromkeys(fault.PLATFORM, _disturb_platform),
    }
