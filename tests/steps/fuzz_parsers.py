"""Steps that feed mutated corpus files to each parser of galenavane."""

from __future__ import annotations

import configparser
import pathlib
import random

import h11
import msgspec
from behave import then

from galenavane import invariant
from galenavane.config import declaration_files, head_store
from galenavane.control import table
from galenavane.failure import failure
from galenavane.load import profile
from galenavane.net import address
from galenavane.observe import clock, event_log
from galenavane.peer import messages, registration
from galenavane.serve import (
    completion_body,
    completion_filter,
    idempotency_record,
    resume_token,
    stream_state,
)

CORPUS = pathlib.Path(__file__).resolve().parent.parent / "corpus"
TOKENS = (b"\x00", b"\xff", b"{", b"}", b'"', b"=", b"\n", b"\r\n", b"-1", b"9" * 40, b"nan", b"[[")
KEY = "fuzz-key"


def parse_declarations(data):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text(data))
    declaration_files.read_parsers([("fuzz.ini", parser)])


def parse_profile(data):
    path = pathlib.Path(parse_profile.folder) / "load.ini"
    path.write_text(text(data), newline="")
    profile.read(path)


def parse_stream(data):
    conn = h11.Connection(h11.CLIENT)
    head = h11.Request(method="POST", target="/", headers=[("host", "x")])
    conn.send(head)
    conn.send(h11.EndOfMessage())
    state = stream_state.StreamState("0" * 32)
    chunk_filter = completion_filter.CompletionFilter(conn, state, None)
    chunk_filter.start(0.0)
    chunk_filter.feed(data, 0.0)


def text(data):
    return data.decode("utf-8", "replace")


PARSERS = {
    "peer_message": (messages.decode, ()),
    "clock": (lambda data: clock.parse(text(data)), ()),
    "address": (lambda data: address.parse(text(data)), (ValueError,)),
    "completion_body": (completion_body.parse, ()),
    "resume_token": (lambda data: resume_token.verify(KEY, text(data), 0.0), ()),
    "head": (lambda data: head_store.decode_head(text(data)), ()),
    "registration": (lambda data: registration.decode(text(data)), ()),
    "record": (lambda data: idempotency_record.decode(text(data)), (msgspec.DecodeError,)),
    "table": (lambda data: table.decode(text(data)), (msgspec.DecodeError,)),
    "log_line": (lambda data: event_log.parse_line(text(data)), ()),
    "declarations": (parse_declarations, (failure.UserError, configparser.Error)),
    "load_profile": (parse_profile, (failure.UserError,)),
    "target_stream": (parse_stream, (invariant.ViolationError,)),
}


@then('{count:d} mutations of the corpus of "{name}" are parsed or rejected as declared')
def fuzz(context, count, name):
    parse_profile.folder = context.folder
    parse, declared_errors = PARSERS[name]
    corpus = [path.read_bytes() for path in sorted((CORPUS / name).iterdir())]
    assert corpus
    rng = random.Random(name)
    for data in corpus + [mutate(rng, rng.choice(corpus)) for _ in range(count)]:
        try:
            parse(data)
        except declared_errors:
            continue
        except Exception as exc:
            raise AssertionError(f"{data!r}: {type(exc).__name__}: {exc}") from exc


def mutate(rng, data):
    """Return the data with a few bytes changed, removed, repeated or inserted."""
    for _ in range(rng.randint(1, 4)):
        start = rng.randint(0, len(data))
        end = min(len(data), start + rng.randint(0, 12))
        mutation = rng.randrange(4)
        if mutation == 0 and data:
            start = min(start, len(data) - 1)
            data = data[:start] + bytes([data[start] ^ (1 << rng.randrange(8))]) + data[start + 1 :]
        elif mutation == 1:
            data = data[:start] + data[end:]
        elif mutation == 2:
            data = data[:end] + data[start:]
        else:
            data = data[:start] + rng.choice(TOKENS) + data[start:]
    return data
