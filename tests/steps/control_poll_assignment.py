"""Checks which entry polls which target."""

from __future__ import annotations

import collections

import simulate_deployment
import trio
from behave import then

from galenavane.control import poll_assignment
from galenavane.entry import status


def find_first_entries(entries, instances):
    """Return the entry with rank 0 for each instance."""
    return {
        name: entry
        for entry in entries
        for name, rank in poll_assignment.compute_own_ranks(entry, entries, instances).items()
        if rank == 0
    }


@then(
    "{count:d} entries share the polling of {size:d} instances evenly "
    "and one that leaves hands over only its own"
)
def check_shares(context, count, size):
    entries = [f"entry-{number}" for number in range(count)]
    instances = [f"engine-{number}" for number in range(size)]
    before = find_first_entries(entries, instances)
    assert set(before) == set(instances)
    shares = collections.Counter(before.values())
    assert max(shares.values()) < 2 * size / count, shares
    after = find_first_entries(entries[1:], instances)
    moved = {name for name in instances if before[name] != after[name]}
    assert moved == {name for name, entry in before.items() if entry == entries[0]}


@then(
    "of {own:d} own and {remote:d} remote instances {polled:d} are polled, and of 460 and 200 all"
)
def check_remote(context, own, remote, polled):
    data_centres = {f"a{number}": "a" for number in range(own)}
    data_centres.update({f"b{number}": "b" for number in range(remote)})
    assert len(poll_assignment.choose_targets("a", data_centres)) == polled
    del data_centres["b0"]
    assert len(poll_assignment.choose_targets("a", data_centres)) == own + remote - 1


@then(
    "in a simulated deployment with seed {seed:d} of 3 entries "
    "a target is polled {low:d} to {high:d} times in 10 s"
)
def count_polls(context, seed, low, high):
    async def scenario(deployment):
        counts = collections.Counter()

        def count(view):
            ask = view.targets.fetch_report

            class Counting:
                def __getattr__(self, name):
                    return getattr(targets, name)

                async def fetch_report(self, address):
                    counts[address] += 1
                    return await ask(address)

            targets = view.targets
            view.targets = Counting()

        await trio.sleep(5)
        for view in deployment.views.values():
            count(view)
        await trio.sleep(10)
        return counts

    counts = simulate_deployment.simulate(seed, scenario)
    assert len(counts) == 6
    assert all(low <= count <= high for count in counts.values()), counts


@then(
    "in a simulated deployment with seed {seed:d} "
    "groups stay complete for the others when an entry is killed"
)
def kill_entry(context, seed):
    async def scenario(deployment):
        await trio.sleep(5)
        for name in ("entry-0", "entry-1"):
            deployment.kill(name)
            others = [
                view
                for other, view in deployment.views.items()
                if deployment.processes[other].is_alive
            ]
            for _ in range(100):
                await trio.sleep(0.1)
                for view in others:
                    entry_status = status.describe(view)
                    assert [one.complete for one in entry_status.groups] == [
                        True,
                        True,
                    ], entry_status

    simulate_deployment.simulate(seed, scenario)
