"""Injects faults from outside the entry processes."""

from __future__ import annotations

import signal

import trio

from fault_soak import fleet, plan
from galenavane.net import transport_error
from galenavane.standin import tcp_proxy

STOP_TIMEOUT_SECONDS = 4.0
"""Grace time of 3 s from the entries' settings, and 1 s to exit."""
HANDLER_TIMEOUT_SECONDS = 0.5
"""Time for a process to decide on signals; before that, SIGHUP ends any process."""
LEAVING_WORK_SECONDS = 10.0
"""The platform lets a leaving target end its requests for so long."""
ASKING_SECONDS = 0.3
ADDED_ROUTES = 60
BURST_CHANGES = 5
BURST_GAP_SECONDS = 0.08
MOVABLE_ROUTES = ("/order/", "/status/")
TIMEOUT_RANGE_SECONDS = (6.0, 9.0)
PAUSE_REPEATS = 4
PAUSE_GAP_SECONDS = 0.3
"""Least time between two pauses of a target, in which it goes on."""
PAUSES = (
    tcp_proxy.Faults(holds_bytes=True),
    tcp_proxy.Faults(accepts_none=True),
    tcp_proxy.Faults(holds_bytes=True, accepts_none=True),
)
STORE_FAULT_SHARE = 0.34
"""Share of entries that a fault on the path to the store affects; at least one is affected."""


class Injector:
    """Injects the faults of a run.

    :ivar fault_log: one line for each fault, and for each process that was told to reload.
    :ivar waits_for_work: whether a leaving target, and its group's head, first end their requests.
    :ivar store_outages: number of overlapping store outages.
    """

    def __init__(
        self, world: fleet.Fleet, fault_log: list[str], waits_for_work: bool = False
    ) -> None:
        self.world = world
        self.fault_log = fault_log
        self.waits_for_work = waits_for_work
        self.store_outages = 0

    async def run(self, faults: list[plan.Fault]) -> None:
        """Start each fault at its time; faults may overlap."""
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for fault in faults:
                await trio.sleep_until(started_at + fault.at_seconds)
                self.fault_log.append(
                    f"{fault.at_seconds:6.2f} s {fault.kind} for {fault.duration_seconds:.2f} s"
                )
                nursery.start_soon(getattr(self, f"_{fault.kind}"), fault)

    def _choose(self, candidates, fault):
        return candidates[int(fault.choice * len(candidates))] if candidates else None

    def _choose_entry(self, fault):
        return self._choose(
            [entry for entry in self.world.entries if not entry.is_disturbed], fault
        )

    def _choose_target(self, fault, service="llm"):
        world = self.world
        usable = [
            target
            for target in world.targets.values()
            if target.name in world.alive and target.service == service and not target.is_leaving
        ]
        return self._choose(sorted(usable, key=lambda target: target.name), fault)

    async def _entry_kill(self, fault):
        entry = self._choose_entry(fault)
        if entry is not None:
            entry.is_disturbed = True
            entry.kill()
            await trio.sleep(fault.duration_seconds / 3)
            entry.start()
            entry.is_disturbed = False

    async def _entry_pause(self, fault):
        entry = self._choose_entry(fault)
        if entry is not None:
            entry.is_disturbed = True
            entry.send_signal(signal.SIGSTOP)
            await trio.sleep(fault.duration_seconds)
            entry.send_signal(signal.SIGCONT)
            entry.is_disturbed = False

    async def _entry_stop(self, fault):
        entry = self._choose_entry(fault)
        if entry is None:
            return
        entry.is_disturbed = True
        entry.expected_exits.add(entry.start_count)
        self.world.stopped_at[f"{entry.name}/{entry.start_count}"] = trio.current_time()
        entry.send_signal(signal.SIGTERM)
        with trio.move_on_after(STOP_TIMEOUT_SECONDS):
            while not entry.has_exited():
                await trio.sleep(0.05)
        entry.kill()
        entry.start()
        entry.is_disturbed = False

    async def _entry_reload(self, fault):
        entry = self._choose_entry(fault)
        if entry is not None:
            with trio.move_on_after(HANDLER_TIMEOUT_SECONDS):
                while not entry.handles_reload():
                    await trio.sleep(0.01)
            self.fault_log.append(f"         SIGHUP to {entry.name}, start {entry.start_count}")
            entry.send_signal(signal.SIGHUP)

    async def _target_kill(self, fault):
        target = self._choose_target(fault)
        if target is None:
            return
        target.kill()
        born = target.born
        await trio.sleep(fleet.EXPIRY_SECONDS)
        self.world.expire_target(target, born)
        if fault.choice < 0.5:
            await self.world.add_target(target.name, target.service, target.domain)

    async def _target_says_it_leaves(self, fault):
        await self._say_leaving(self._choose_plain(fault), fault)

    async def _head_says_it_leaves(self, fault):
        await self._say_leaving(self._choose_head(fault), fault)

    async def _say_leaving(self, target, fault):
        """Let a target say that it leaves, and end some time later; its record stays ready."""
        if target is None:
            return
        target.says_leaving = True
        await trio.sleep(fault.duration_seconds + 1.0)
        born = target.born
        target.kill()
        await trio.sleep(fleet.EXPIRY_SECONDS)
        self.world.expire_target(target, born)
        await self.world.add_target(target.name, target.service, target.domain)

    async def _target_asks_to_wait(self, fault):
        await self._ask_to_wait(self._choose_plain(fault), fault)

    async def _head_asks_to_wait(self, fault):
        await self._ask_to_wait(self._choose_head(fault), fault)

    async def _ask_to_wait(self, target, fault):
        """Let a target turn requests away for a moment, and ask to be left alone for longer."""
        if target is None:
            return
        target.asks_to_wait = f"{fault.duration_seconds:.2f}"
        await trio.sleep(ASKING_SECONDS)
        target.asks_to_wait = ""

    def _choose_plain(self, fault):
        """Choose a plain target that has said nothing, unless it is the last one."""
        names = sorted(name for name in self.world.alive if name.startswith("p"))
        targets = [self.world.targets[name] for name in names]
        silent = [target for target in targets if not target.says_leaving]
        return self._choose(silent, fault) if len(silent) > 1 else None

    def _choose_head(self, fault):
        serving = sorted(self.world.serving(), key=lambda head: head.name)
        return self._choose([head for head in serving if not head.says_leaving], fault)

    async def _disturb_target(self, fault, faults, service="llm"):
        target = self._choose_target(fault, service)
        if target is None:
            return
        await target.proxy.set_faults(faults)
        await trio.sleep(fault.duration_seconds)
        if target.name in self.world.alive and self.world.targets[target.name] is target:
            await target.proxy.set_faults(tcp_proxy.Faults())

    async def _target_silent(self, fault):
        await self._disturb_target(fault, tcp_proxy.Faults(silent=True))

    async def _target_slow(self, fault):
        await self._disturb_target(fault, tcp_proxy.Faults(delay_seconds=0.2))

    async def _target_reset(self, fault):
        await self._disturb_target(
            fault, tcp_proxy.Faults(cut_after_bytes=int(40 + 400 * fault.choice))
        )

    async def _target_leave(self, fault):
        world = self.world
        target = self._choose_target(fault, "desk" if fault.choice < 0.3 else "llm")
        desk_targets = [
            candidate for candidate in world.targets.values() if candidate.service == "desk"
        ]
        if target is None or (
            target.service == "desk"
            and sum(desk_target.is_leaving for desk_target in desk_targets) > 0
        ):
            return
        target.is_leaving = True
        target.publish()
        left_at = trio.current_time()
        await trio.sleep(3.0 + 2 * fault.choice)
        if self.waits_for_work:
            with trio.move_on_after(LEAVING_WORK_SECONDS):
                while target.has_work():
                    await trio.sleep(0.02)
        # Only the streams that a head itself serves keep it up; then it exits and is started anew.
        world.departures.append((target.name, left_at, trio.current_time()))
        target.kill()
        await trio.sleep(0.2)
        world.expire_target(target, target.born)
        await world.add_target(target.name, target.service, target.domain)

    async def _store_away(self, fault):
        self.store_outages += 1
        self.world.store.is_away = True
        await trio.sleep(fault.duration_seconds)
        self.store_outages -= 1
        self.world.store.is_away = self.store_outages > 0

    async def _disturb_store(self, fault, faults):
        names = sorted(self.world.store_proxies)
        first = int(fault.choice * len(names))
        count = max(1, round(STORE_FAULT_SHARE * len(names)))
        affected = [names[(first + offset) % len(names)] for offset in range(count)]
        for name in affected:
            await self.world.store_proxies[name].set_faults(faults)
        await trio.sleep(fault.duration_seconds)
        for name in affected:
            await self.world.store_proxies[name].set_faults(tcp_proxy.Faults())

    async def _store_silent(self, fault):
        await self._disturb_store(fault, tcp_proxy.Faults(silent=True))

    async def _store_one_way(self, fault):
        await self._disturb_store(fault, tcp_proxy.Faults(lose_answers=True))

    async def _store_slow(self, fault):
        await self._disturb_store(fault, tcp_proxy.Faults(delay_seconds=0.4))

    async def _store_forgets(self, fault):
        self.world.store.compact()

    async def _config_change(self, fault):
        self.world.publish_version()

    async def _key_revoke(self, fault):
        valid_keys = [key for key in self.world.keys[1:] if key not in self.world.revoked_at]
        if valid_keys:
            self.world.revoked_at[valid_keys[-1]] = trio.current_time()
            self.world.publish_version()

    async def _config_routes(self, fault):
        self.world.add_routes(ADDED_ROUTES)
        self.world.publish_version()

    async def _config_move(self, fault):
        self.world.move_route(self._choose(MOVABLE_ROUTES, fault))
        self.world.publish_version()

    async def _config_timeouts(self, fault):
        shortest, longest = TIMEOUT_RANGE_SECONDS
        for path_prefix in ("/model/", "/once/", *MOVABLE_ROUTES):
            self.world.set_timeout(path_prefix, shortest + fault.choice * (longest - shortest))
        self.world.publish_version()

    async def _config_burst(self, fault):
        for number in range(BURST_CHANGES):
            changes = (self._config_move, self._config_routes, self._config_timeouts)
            await changes[number % len(changes)](fault)
            await trio.sleep(BURST_GAP_SECONDS)

    async def _pause(self, target, fault):
        """Let a sound target pass nothing, or accept no connection, for a while."""
        now = trio.current_time()
        if target is None or now < target.paused_until + PAUSE_GAP_SECONDS:
            return
        pause = PAUSES[int(fault.choice * 1000) % len(PAUSES)]
        target.paused_until = now + fault.duration_seconds
        self.fault_log.append(f"         {target.name} pauses: {pause}")
        if pause.holds_bytes:
            self.world.silent_until[target.name] = target.paused_until
        await self._set_faults(target, pause)
        await trio.sleep_until(target.paused_until)
        await self._set_faults(target, tcp_proxy.Faults())

    async def _set_faults(self, target, faults):
        """Set the faults of a target's proxy unless the target ends, which may be meanwhile."""
        if not self._is_running(target):
            return
        try:
            await target.proxy.set_faults(faults)
        except transport_error.TransportError:
            if self._is_running(target):
                raise

    def _is_running(self, target):
        return target.name in self.world.alive and self.world.targets[target.name] is target

    def _list_heads(self):
        return [head for head in self.world.serving() if head.members[0] == head.name]

    async def _target_pause(self, fault):
        services = ("llm", "llm", "desk", fleet.SECOND_SERVICE)
        service = services[int(fault.choice * 100) % len(services)]
        await self._pause(self._choose_target(fault, service), fault)

    async def _head_pause(self, fault):
        await self._pause(self._choose(self._list_heads(), fault), fault)

    async def _heads_pause(self, fault):
        async with trio.open_nursery() as nursery:
            for head in self._list_heads():
                nursery.start_soon(self._pause, head, fault)

    async def _repeated_pause(self, fault):
        is_plain = fault.choice < 0.3
        target = (
            self._choose_target(fault, "desk")
            if is_plain
            else self._choose(self._list_heads(), fault)
        )
        for _ in range(PAUSE_REPEATS):
            if target is None or not self._is_running(target):
                return
            await self._pause(target, fault)
            await trio.sleep(PAUSE_GAP_SECONDS + 0.05)
