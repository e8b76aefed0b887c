"""``galenavane status``."""

from __future__ import annotations

import msgspec
import trio

from galenavane.entry import operators
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses
from galenavane.net import message, round_trip, tcp, transport_error

TIMEOUT_SECONDS = 3.0
MAX_ANSWER_BYTES = 64_000_000


def status(entry: addresses.Address, /, *, json: bool = False) -> int:
    """Show what an entry knows.

    :param entry: IP:port of an entry's operators' address
    :param json: print the answer as JSON
    """
    answer = trio.run(_ask, entry)
    if json:
        print(msgspec.json.encode(answer).decode())
        return 0
    _print(answer)
    return 0 if all(group.complete for group in answer.groups) else 1


async def _ask(where: addresses.Address) -> operators.EntryStatus:
    req = message.Request("GET", "/status")
    try:
        response = await round_trip.send(tcp.make(), where, req, TIMEOUT_SECONDS, MAX_ANSWER_BYTES)
    except transport_error.TransportError as exc:
        text = f"entry {where} does not answer: {exc}"
        raise failure.UserError(failure.Failure(codes.Code.TARGET_UNREACHABLE, text)) from None
    return msgspec.json.decode(response.body, type=operators.EntryStatus)


def _print(answer: operators.EntryStatus) -> None:
    complete = sum(group.complete for group in answer.groups)
    held = "no lease" if answer.token is None else f"lease held, token {answer.token}"
    print(
        f"entry {answer.name} in {answer.data_centre}: {held}, {answer.active} requests in flight"
    )
    print(f'generation {answer.generation}, preset "{answer.preset}"')
    print(f"peers: {', '.join(answer.peers) or 'none'}")
    print(f"groups: {complete} of {len(answer.groups)} complete")
    for group in answer.groups:
        word = "complete" if group.complete else "incomplete"
        print(f"  {group.name}  {group.version}  {word}  {' '.join(group.members)}")
    print(f"stranded accelerators: {len(answer.stranded)} {' '.join(answer.stranded)}")
