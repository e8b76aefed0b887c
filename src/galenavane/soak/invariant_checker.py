"""Checks the invariants of a simulated run against the true state of every process."""

from __future__ import annotations

import collections

import trio

from galenavane import invariant
from galenavane.control import completeness, table
from galenavane.failure import outcome as outcomes
from galenavane.observe import events
from galenavane.simulate import deployment
from galenavane.soak import fault_types, injector, operators, topology, trace, traffic, violation
from galenavane.soak import record as records

SAMPLE_INTERVAL_SECONDS = 0.25
MISSING_LIMIT_SECONDS = completeness.MAX_REPORT_AGE_SECONDS + 2 * SAMPLE_INTERVAL_SECONDS
LEAVING_LIMIT_SECONDS = 5.0
IN_FORCE_LIMIT_SECONDS = 6.0
GRACE_AFTER_FAULT_SECONDS = 15.0
MAX_VIOLATIONS = 20
_Number = invariant.Number


class InvariantChecker:
    """Observed state of the whole deployment and the violations found in it.

    :ivar violations: violations in order of time, at most ``MAX_VIOLATIONS``.
    """

    __slots__ = (
        "_checked_tables",
        "_current_incarnations",
        "_generations",
        "_injector",
        "_last_affected_at",
        "_layout",
        "_ops",
        "_ready_at",
        "_served_request_ids",
        "_simulation",
        "violations",
    )

    def __init__(
        self,
        simulation: deployment.Deployment,
        layout: topology.Topology,
        fault_injector: injector.Injector,
        ops: operators.Operators,
    ) -> None:
        self._simulation = simulation
        self._layout = layout
        self._injector = fault_injector
        self._ops = ops
        self._ready_at: dict[tuple[str, str, str, int], float] = {}
        self._last_affected_at: dict[str, float] = {}
        self._current_incarnations: dict[str, tuple[str, float]] = {}
        self._generations: dict[str, int] = {}
        self._served_request_ids: set[str] = set()
        self._checked_tables: set[int] = set()
        self.violations: list[violation.Violation] = []

    def report(self, number: int, text: str) -> None:
        """Record and log a violation.

        :param number: violated invariant, or ``STUCK`` or ``CRASHED`` of the violation module.
        """
        if len(self.violations) < MAX_VIOLATIONS:
            new_violation = violation.Violation(number, trio.current_time(), text)
            self.violations.append(new_violation)
            events.log("soak.violation", number=number, text=text)

    def check_event(self, event: trace.Event) -> None:
        """Check one logged event of the run."""
        if event.kind == "invariant.violated":
            self.report(int(str(event.fields["number"])), str(event.fields["text"]))
        elif event.kind in ("connection.defect", "request.defect"):
            self.report(violation.CRASHED, event.describe())
        elif event.kind == "request.send":
            self._check_send(event)
        elif event.kind == "target.request":
            self._served_request_ids.add(str(event.fields["request"]))
        elif event.kind == "target.end" and event.fields["cut"] and self._has_only_planned_faults():
            text = f"{event.fields['instance']} cut off request {event.fields['request']}"
            self.report(_Number.PLANNED_STOP, f"{text} though only planned things were done")
        elif event.kind == "config.in_force":
            self._check_generation(event)

    def _check_send(self, event: trace.Event) -> None:
        group_name = str(event.fields.get("group") or "")
        if not group_name:
            self._check_leaving(event.process, str(event.fields.get("instance", "")))
            return
        self._sample_engines()
        epoch = int(str(event.fields["epoch"]))
        group = self._find_group(event.process, group_name, epoch)
        if group is None:
            return
        for member in group.members:
            key = (member.instance, member.incarnation, group_name, epoch)
            missing_seconds = trio.current_time() - self._ready_at.get(key, float("-inf"))
            if missing_seconds > MISSING_LIMIT_SECONDS:
                text = f"{event.process} sent a request to {group_name} epoch {epoch}"
                missing_text = f"{member.instance} has been missing for {missing_seconds:.2f} s"
                self.report(_Number.COMPLETE_GROUP, f"{text} but {missing_text}")
            self._check_leaving(event.process, member.instance)

    def _find_group(self, entry_name: str, group_name: str, epoch: int) -> table.Group | None:
        view = self._simulation.views[entry_name]
        for assignments in view.tables.value.values():
            for group in assignments.groups:
                if (group.name, group.epoch) == (group_name, epoch):
                    return group
        return None

    def _check_leaving(self, entry_name: str, target_name: str) -> None:
        leaving_since = self._injector.leaving_since.get(target_name)
        if leaving_since is None:
            return
        known_at = max(
            leaving_since + self._injector.list_lag_seconds,
            self._last_affected_at.get(entry_name, 0.0),
        )
        late_seconds = trio.current_time() - known_at
        if late_seconds > LEAVING_LIMIT_SECONDS:
            text = (
                f"{entry_name} sent new work to {target_name}, "
                f"{late_seconds:.2f} s after it is known to leave"
            )
            self.report(_Number.LEAVING_GETS_NOTHING, text)

    def _check_generation(self, event: trace.Event) -> None:
        incarnation = str(event.fields["incarnation"])
        generation = int(str(event.fields["generation"]))
        previous = self._generations.get(incarnation, 0)
        if generation <= previous:
            text = f"{event.process} went from generation {previous} to {generation}"
            self.report(_Number.CONFIGURATION, text)
        self._generations[incarnation] = generation

    def _has_only_planned_faults(self) -> bool:
        """Return whether no unplanned fault is active or ended within the grace time."""
        if any(not fault.is_planned for fault in self._injector.active_faults):
            return False
        return trio.current_time() - self._injector.unplanned_ended_at > GRACE_AFTER_FAULT_SECONDS

    async def run(self) -> None:
        """Sample the true state of every process until cancelled."""
        while True:
            self._sample_engines()
            self._sample_entries()
            self._check_in_force()
            await trio.sleep(SAMPLE_INTERVAL_SECONDS)

    def _sample_engines(self) -> None:
        now = trio.current_time()
        complete_memberships: dict[str, tuple[str, int]] = {}
        for name, state in self._simulation.engine_states.items():
            process = self._simulation.processes[name]
            if not process.is_alive or process.is_frozen or not state.is_ready(now):
                continue
            membership = (state.group, state.epoch)
            self._ready_at[(name, state.incarnation, *membership)] = now
            if not state.is_complete(now):
                continue
            for peer in state.peers:
                other_membership = complete_memberships.setdefault(peer.instance, membership)
                if other_membership != membership:
                    text = (
                        f"{peer.instance} is a member of {membership} "
                        f"and of {other_membership}, both complete"
                    )
                    self.report(_Number.ONE_GROUP, text)

    def _sample_entries(self) -> None:
        now = trio.current_time()
        for name, view in self._simulation.views.items():
            process = self._simulation.processes[name]
            if not process.is_alive or process.is_frozen or self._is_affected(name):
                self._last_affected_at[name] = now
            if self._current_incarnations.get(name, ("", 0.0))[0] != view.incarnation:
                self._current_incarnations[name] = (view.incarnation, now)
                self._last_affected_at[name] = now
            self._check_tables(view.tables.value)

    def _is_affected(self, name: str) -> bool:
        """Return whether an unplanned fault affects an entry or its access to the platform."""
        return any(
            fault.kind in fault_types.PLATFORM_KINDS
            or name in fault.names
            or name in fault.opposite_names
            for fault in self._injector.active_faults
            if not fault.is_planned
        )

    def _check_tables(self, tables: dict[str, table.Table]) -> None:
        for assignments in tables.values():
            if id(assignments) in self._checked_tables:
                continue
            self._checked_tables.add(id(assignments))
            counts = collections.Counter(
                member.instance for group in assignments.groups for member in group.members
            )
            for name, count in counts.items():
                if count > 1:
                    text = f"the table of {assignments.data_centre} has {name} in {count} groups"
                    self.report(_Number.ONE_GROUP, text)

    def _check_in_force(self) -> None:
        """Check that each accepted change is in force in time at entries without recent faults."""
        now = trio.current_time()
        for accepted in self._ops.accepted:
            if (
                not IN_FORCE_LIMIT_SECONDS
                <= now - accepted.at_seconds
                < IN_FORCE_LIMIT_SECONDS + SAMPLE_INTERVAL_SECONDS
            ):
                continue
            for name, view in self._simulation.views.items():
                if (
                    self._last_affected_at.get(name, 0.0)
                    > accepted.at_seconds - GRACE_AFTER_FAULT_SECONDS
                ):
                    continue
                current = view.configuration.value
                generation = current.head.generation if current else 0
                if generation < accepted.head.generation:
                    text = f"generation {accepted.head.generation} is not in force at {name}"
                    self.report(_Number.CONFIGURATION, f"{text} after {IN_FORCE_LIMIT_SECONDS} s")

    def check_records(
        self, caller_records: list[records.Record], schedule: list[fault_types.Fault]
    ) -> None:
        """Compare the answers that callers received with what targets ran."""
        had_unplanned = any(not fault.is_planned for fault in schedule)
        silenced = {
            name
            for fault in schedule
            if fault.kind is fault_types.Kind.SILENT_CONNECTIONS
            for name in fault.names
        }
        runs = traffic.list_job_runs(self._simulation.ledgers)
        counts = collections.Counter(run.job for run in runs)
        ran = {run.request_id for run in runs} | self._served_request_ids
        for job, count in sorted(counts.items()):
            if count > 1:
                self.report(_Number.AT_MOST_ONCE, f"{job} was run {count} times")
        for record in caller_records:
            if record.outcome == outcomes.Outcome.NOT_RUN and record.request_id in ran:
                text = (
                    f"request {record.request_id} ({record.job or 'completion'}) at {record.entry}"
                )
                self.report(_Number.NOT_RUN_IS_TRUE, f"{text} was told not_run but ran")
            if record.ending is records.Ending.WHOLE and record.job and not counts[record.job]:
                self.report(_Number.OWN_ANSWER, f"{record.job} was answered but no target ran it")
            if (
                record.ending in (records.Ending.BROKEN, records.Ending.TIMEOUT)
                and not had_unplanned
            ):
                text = f"a request at {record.entry} begun at {record.started_at:.2f} s was cut off"
                self.report(_Number.PLANNED_STOP, f"{text} though only planned things were done")
            if record.ending is records.Ending.TIMEOUT and record.entry not in silenced:
                text = f"a request at {record.entry} begun at {record.started_at:.2f} s never ended"
                self.report(violation.STUCK, text)

    def check_accepted(self, generation: int) -> None:
        """Compare the accepted configurations with each other and with the stored generation.

        :param generation: generation of the head that the platform holds after the run.
        """
        writers: dict[int, str] = {}
        for accepted in self._ops.accepted:
            if (
                writers.setdefault(accepted.head.generation, accepted.head.writer)
                != accepted.head.writer
            ):
                text = f"generation {accepted.head.generation} was accepted twice"
                self.report(_Number.CONFIGURATION, text)
        last_accepted = max(
            (accepted.head.generation for accepted in self._ops.accepted), default=0
        )
        if generation < last_accepted:
            text = f"the platform holds generation {generation}, {last_accepted} was accepted"
            self.report(_Number.CONFIGURATION, text)
