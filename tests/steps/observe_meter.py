"""Steps for the downtime meter and the metrics of an entry."""

from __future__ import annotations

from behave import given, then, when

from galenavane.observe import meter, metrics

METER_STEP = "a meter that sees {wanted:d} groups wanted, {complete:d} complete, {idle:d} idle"


@given(METER_STEP + " of which {spare:d} spare")
def make_meter(context, wanted, complete, idle, spare):
    context.sample = meter.Sample(wanted, complete, idle, spare)
    context.meter = meter.Meter(0.0)
    meter.add_sample(context.meter, context.sample, 100.0)


@when("{seconds:d} s pass")
def pass_time(context, seconds):
    meter.add_sample(context.meter, context.sample, 100.0 + seconds)


@then("its downtime is {down:d} s and its stranded time is {stranded:d} s")
def check_meter(context, down, stranded):
    assert context.meter.downtime_seconds == down
    assert context.meter.stranded_seconds == stranded


@then("the metrics of a new entry start with group downtime and stranded accelerators")
def check_metrics(context):
    entry_metrics = metrics.make()
    entry_metrics.group_downtime_seconds.add({}, 1.5)
    entry_metrics.stranded_accelerator_seconds.add({}, 2.5)
    lines = [
        line for line in metrics.render(entry_metrics).decode().splitlines() if line[:1] not in "#"
    ]
    assert lines[:2] == [
        "galenavane_group_downtime_seconds_total 1.5",
        "galenavane_stranded_accelerator_seconds_total 2.5",
    ], lines


@then('every metric is explained in "{path}"')
def check_page(context, path):
    page = (context.root / path).read_text()
    names = list(metrics.make().registry.collectors)
    assert len(names) > 15
    missing = [name for name in names if name not in page]
    assert not missing, missing
