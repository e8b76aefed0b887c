"""Tells worlds apart that may go on differently."""

from __future__ import annotations

from collections import abc

from galenavane.control import table
from galenavane.experiment import system_state
from galenavane.store import lease


def key(world: system_state.World) -> abc.Hashable:
    """Return the same for worlds that go on alike."""
    return (
        world.revision,
        world.lease_version,
        world.lease_value,
        world.table_version,
        table.encode(world.table),
        tuple(_lease_key(one, world.now) for one in world.leases),
        tuple(_held_key(one) for one in world.held),
        tuple((one.token, one.group, one.epoch, one.rank, one.shard) for one in world.targets),
        tuple((one.if_version, one.value, _text(one.table)) for one in world.late),
        tuple(
            (
                one.target,
                one.command.token,
                one.command.kind,
                one.command.group,
                one.command.epoch,
                max(one.sent_at - world.now, -system_state.FORGET_SECONDS),
            )
            for one in world.flights
        ),
        world.tables,
        world.owners,
    )


def _text(one: table.Table | None) -> str:
    return table.encode(one) if one is not None else ""


def _lease_key(state: lease.State, now: float) -> abc.Hashable:
    return (
        state.version,
        state.value,
        max(state.version_seen_at - now, -system_state.FORGET_SECONDS),
        max(state.held_until - now, -system_state.FORGET_SECONDS),
        max(state.last_write_at - now, -system_state.FORGET_SECONDS),
        state.is_read_due,
        state.highest_token,
        max(state.claim_blocked_until - now, -system_state.FORGET_SECONDS),
        state.last_renewal,
        tuple(
            (number, max(at - now, -system_state.FORGET_SECONDS))
            for number, at in state.pending_writes.items()
        ),
    )


def _held_key(held: system_state.Held | None) -> abc.Hashable:
    return (held.version, table.encode(held.table), held.is_kept) if held is not None else None
