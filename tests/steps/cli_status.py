"""Steps for ``galenavane status``."""

from __future__ import annotations

import msgspec
import simulate_deployment
import trio
from behave import given, then

from galenavane.cli import status_report
from galenavane.control import table
from galenavane.entry import status
from galenavane.net import message
from galenavane.standin import platform_faults

NO_FILTER = status_report.GroupFilter("", "", False, 40)


@given("the status of an entry of a simulated deployment whose platform was down for {seconds:d} s")
def describe_outage(context, seconds):
    async def scenario(simulated):
        faults = platform_faults.Faults(down=True)
        await simulated.call(simulated.platform, message.json_request("POST", "/faults", faults))
        await trio.sleep(seconds)
        return status.describe(simulated.views["entry-0"])

    entry_status = simulate_deployment.simulate(5, scenario)
    context.answers = [status_report.Answer("10.0.0.1:8001", entry_status)]


@given("the status of an entry with {count:d} groups of which one is incomplete")
def describe_many(context, count):
    groups = [
        status.GroupStatus(
            f"s.dc.{number}", "s", "dc", "v1", 1, table.Phase.ACTIVE, number != 7, ["a", "b"]
        )
        for number in range(count)
    ]
    entry_status = status.EntryStatus(
        name="e",
        incarnation="i",
        data_centre="dc",
        generation=1,
        preset="p",
        platform_generation=0,
        dropped_messages=0,
        token=None,
        leaving=False,
        active=0,
        peers=[],
        groups=groups,
        wanted=count,
        stranded=[],
        leaving_targets=[],
        downtime_seconds=0.0,
        stranded_seconds=0.0,
        platform_age_seconds=0.0,
        tables_age_seconds=0.0,
        reports_age_seconds=0.0,
    )
    context.answers = [status_report.Answer("10.0.0.1:8001", entry_status)]
    assert (
        msgspec.json.decode(msgspec.json.encode(entry_status), type=status.EntryStatus)
        == entry_status
    )


@then('the status text says "{text}"')
def check_contains(context, text):
    output = status_report.render(context.answers, NO_FILTER)
    assert text in output, output


@then("the status text has under {count:d} lines")
def check_line_count(context, count):
    assert len(status_report.render(context.answers, NO_FILTER).splitlines()) < count


@then("the status text filtered to incomplete groups lists {count:d} group")
def check_filtered(context, count):
    output = status_report.render(context.answers, status_report.GroupFilter("", "", True, 40))
    assert output.count("INCOMPLETE") == count, output
    assert not status_report.is_healthy(context.answers)
