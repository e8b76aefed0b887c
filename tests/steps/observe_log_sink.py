"""Steps for writing log lines to a pipe."""

from __future__ import annotations

import json
import os
import time

from behave import given, then, when

from galenavane.observe import log_sink


@given("a log over a pipe that nobody reads")
def open_pipe(context):
    context.reader, context.writer = os.pipe()
    context.sink = log_sink.open_sink(context.writer)


@given("a log over a pipe whose reader is gone")
def open_closed_pipe(context):
    open_pipe(context)
    os.close(context.reader)


@when("{count:d} lines are logged")
def log_lines(context, count):
    started_at = time.perf_counter()
    for number in range(count):
        context.sink({"message_type": "request.end", "number": number, "text": "x" * 100})
        if number % 100 == 0:
            context.sink.flush()
    context.sink.flush()
    context.seconds = time.perf_counter() - started_at


@then("that took under {seconds:d} s")
def check_time(context, seconds):
    assert context.seconds < seconds, context.seconds


@then("some lines were dropped and counted")
def check_dropped(context):
    assert context.sink.dropped > 0


@then("{count:d} lines are counted as dropped")
def check_count(context, count):
    assert context.sink.dropped == count, context.sink.dropped


@then("the pipe then holds only whole lines")
def check_lines(context):
    os.set_blocking(context.reader, False)
    data = b""
    for _ in range(100):
        try:
            data += os.read(context.reader, 1 << 20)
        except BlockingIOError:
            break
        context.sink.flush()
    lines = data.split(b"\n")
    numbers = [json.loads(line)["number"] for line in lines[:-1]]
    assert len(numbers) > 100 and numbers == sorted(numbers)
    os.close(context.reader)
    os.close(context.writer)
