"""Injects faults from outside the entry processes."""

from __future__ import annotations

import signal

import trio

from fault_soak import fleet, plan
from galenavane.standin import tcp_proxy

STOP_TIMEOUT_SECONDS = 4.0
"""Grace time of 3 s from the entries' settings, and 1 s to exit."""
STORE_FAULT_SHARE = 0.34
"""Share of entries that a fault on the path to the store affects; at least one is affected."""


class Injector:
    """Injects the faults of a run.

    :ivar fault_log: one line for each fault, and for each process that was told to reload.
    :ivar store_outages: number of overlapping store outages.
    """

    def __init__(self, world: fleet.Fleet, fault_log: list[str]) -> None:
        self.world = world
        self.fault_log = fault_log
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
