"""Computes keys that are equal for system states that behave alike."""

from __future__ import annotations

from collections import abc

from galenavane.control import table
from galenavane.experiment import system_state
from galenavane.store import lease


def compute_key(system: system_state.SystemState) -> abc.Hashable:
    """Return a key that is equal for states with the same further behaviour."""
    return (
        system.revision,
        system.lease_version,
        system.lease_value,
        system.table_version,
        table.encode(system.table),
        tuple(_make_lease_key(lease_state, system.now) for lease_state in system.leases),
        tuple(_make_held_table_key(held_table) for held_table in system.held_tables),
        tuple(
            (target.token, target.group, target.epoch, target.rank, target.shard)
            for target in system.targets
        ),
        tuple(
            (write.if_version, write.value, _encode_table(write.table))
            for write in system.delayed_writes
        ),
        tuple(
            (
                sent.target,
                sent.command.token,
                sent.command.kind,
                sent.command.group,
                sent.command.epoch,
                max(sent.sent_at - system.now, -system_state.MAX_COMPARED_AGE_SECONDS),
            )
            for sent in system.commands_in_flight
        ),
        system.routable_tables,
        system.token_holders,
    )


def _encode_table(current: table.Table | None) -> str:
    return table.encode(current) if current is not None else ""


def _make_lease_key(state: lease.State, now: float) -> abc.Hashable:
    return (
        state.version,
        state.value,
        max(state.version_seen_at - now, -system_state.MAX_COMPARED_AGE_SECONDS),
        max(state.held_until - now, -system_state.MAX_COMPARED_AGE_SECONDS),
        max(state.last_write_at - now, -system_state.MAX_COMPARED_AGE_SECONDS),
        state.is_read_due,
        state.highest_token,
        max(state.claim_blocked_until - now, -system_state.MAX_COMPARED_AGE_SECONDS),
        state.last_renewal,
        tuple(
            (renewal, max(sent_at - now, -system_state.MAX_COMPARED_AGE_SECONDS))
            for renewal, sent_at in state.pending_writes.items()
        ),
    )


def _make_held_table_key(held_table: system_state.HeldTable | None) -> abc.Hashable:
    return (
        (held_table.version, table.encode(held_table.table), held_table.is_stored)
        if held_table is not None
        else None
    )
