"""Carries faults out, from outside the entries."""

from __future__ import annotations

import signal

import trio

from fault_soak import fleet, plan
from galenavane.standin import link

GRACE_SECONDS = 4.0
"""The entries' own grace time of 3 s, and a second to end."""
CUT_SHARE = 0.34
"""Entries that a fault of the store's path hits, at least one."""


class Injector:
    """Faults under way, and which of them a check has to know."""

    def __init__(self, world: fleet.Fleet, log: list[str]) -> None:
        self.world = world
        self.log = log
        self.store_cut = 0

    async def run(self, faults: list[plan.Fault]) -> None:
        """Begin each fault at its time; they overlap."""
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for one in faults:
                await trio.sleep_until(began + one.at)
                self.log.append(f"{one.at:6.2f} s {one.kind} for {one.seconds:.2f} s")
                nursery.start_soon(getattr(self, f"_{one.kind}"), one)

    def _pick(self, found, fault):
        return found[int(fault.draw * len(found))] if found else None

    def _entry(self, fault):
        return self._pick([one for one in self.world.entries if not one.is_busy], fault)

    def _target(self, fault, service="llm"):
        world = self.world
        usable = [
            one
            for one in world.targets.values()
            if one.name in world.alive and one.service == service and not one.is_leaving
        ]
        return self._pick(sorted(usable, key=lambda one: one.name), fault)

    async def _entry_kill(self, fault):
        found = self._entry(fault)
        if found is not None:
            found.is_busy = True
            found.kill()
            await trio.sleep(fault.seconds / 3)
            found.start()
            found.is_busy = False

    async def _entry_pause(self, fault):
        found = self._entry(fault)
        if found is not None:
            found.is_busy = True
            found.signal(signal.SIGSTOP)
            await trio.sleep(fault.seconds)
            found.signal(signal.SIGCONT)
            found.is_busy = False

    async def _entry_stop(self, fault):
        found = self._entry(fault)
        if found is None:
            return
        found.is_busy = True
        found.expected_exits.add(found.lives)
        found.signal(signal.SIGTERM)
        with trio.move_on_after(GRACE_SECONDS):
            while not found.has_ended():
                await trio.sleep(0.05)
        found.kill()
        found.start()
        found.is_busy = False

    async def _entry_reload(self, fault):
        found = self._entry(fault)
        if found is not None:
            found.signal(signal.SIGHUP)

    async def _target_kill(self, fault):
        found = self._target(fault)
        if found is None:
            return
        found.kill()
        born = found.born
        await trio.sleep(fleet.LAPSE_SECONDS)
        self.world.lapse(found, born)
        if fault.draw < 0.5:
            await self.world.add_target(found.name, found.service, found.domain)

    async def _disturb_target(self, fault, faults, service="llm"):
        found = self._target(fault, service)
        if found is None:
            return
        await found.relay.switch(faults)
        await trio.sleep(fault.seconds)
        if found.name in self.world.alive and self.world.targets[found.name] is found:
            await found.relay.switch(link.Faults())

    async def _target_silent(self, fault):
        await self._disturb_target(fault, link.Faults(silent=True))

    async def _target_slow(self, fault):
        await self._disturb_target(fault, link.Faults(delay_seconds=0.2))

    async def _target_reset(self, fault):
        await self._disturb_target(fault, link.Faults(cut_after_bytes=int(40 + 400 * fault.draw)))

    async def _target_leave(self, fault):
        world = self.world
        found = self._target(fault, "desk" if fault.draw < 0.3 else "llm")
        desks = [one for one in world.targets.values() if one.service == "desk"]
        if found is None or (found.service == "desk" and sum(d.is_leaving for d in desks) > 0):
            return
        found.is_leaving = True
        found.publish()
        left_at = trio.current_time()
        await trio.sleep(3.0 + 2 * fault.draw)
        # Only a head's own streams keep it; then it ends, and comes back as a new start.
        world.left.append((found.name, left_at, trio.current_time()))
        found.kill()
        await trio.sleep(0.2)
        world.lapse(found, found.born)
        await world.add_target(found.name, found.service, found.domain)

    async def _store_away(self, fault):
        self.store_cut += 1
        self.world.store.is_away = True
        await trio.sleep(fault.seconds)
        self.store_cut -= 1
        self.world.store.is_away = self.store_cut > 0

    async def _disturb_store(self, fault, faults):
        names = sorted(self.world.store_relays)
        first = int(fault.draw * len(names))
        count = max(1, round(CUT_SHARE * len(names)))
        hit = [names[(first + number) % len(names)] for number in range(count)]
        for name in hit:
            await self.world.store_relays[name].switch(faults)
        await trio.sleep(fault.seconds)
        for name in hit:
            await self.world.store_relays[name].switch(link.Faults())

    async def _store_silent(self, fault):
        await self._disturb_store(fault, link.Faults(silent=True))

    async def _store_one_way(self, fault):
        await self._disturb_store(fault, link.Faults(lose_answers=True))

    async def _store_slow(self, fault):
        await self._disturb_store(fault, link.Faults(delay_seconds=0.4))

    async def _store_forgets(self, fault):
        self.world.store.forget()

    async def _config_change(self, fault):
        self.world.publish_version()

    async def _key_revoke(self, fault):
        left = [one for one in self.world.keys[1:] if one not in self.world.revoked]
        if left:
            self.world.revoked[left[-1]] = trio.current_time()
            self.world.publish_version()
