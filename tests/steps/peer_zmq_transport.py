"""Steps for encrypted messages between entries, over real sockets."""

from __future__ import annotations

import contextlib
import socket

import trio
import zmq
from behave import then

from galenavane.net import address, curve_key
from galenavane.peer import zmq_transport

SECRETS = {name: curve_key.generate() for name in ("old", "new", "other")}
HEARD_SECONDS = 10.0
SILENT_SECONDS = 0.5


def keys_of(words):
    """Return key pairs by their names in the feature."""
    return [curve_key.parse(SECRETS[word]) for word in words.split()]


def free_address():
    """Return an unused loopback address."""
    with socket.create_server(("127.0.0.1", 0)) as found:
        return address.Address("127.0.0.1", found.getsockname()[1])


async def receive(transport, seconds, send):
    """Return the first message that arrives while ``send`` is called again and again."""
    received = []

    async def wait():
        received.append(await transport.receive())

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            while not received:
                send()
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
    return received


@then('an entry with peer keys "{sender}" is heard by one with peer keys "{receiver}"')
def hear(context, sender, receiver):
    assert trio.run(exchange, sender, receiver, HEARD_SECONDS) == [b"beat"]


@then('an entry with peer keys "" is heard by one with peer keys ""')
def hear_clear(context):
    hear(context, "", "")


@then('an entry with peer keys "{sender}" is not heard by one with peer keys "{receiver}"')
def ignore(context, sender, receiver):
    assert trio.run(exchange, sender, receiver, SILENT_SECONDS) == []


@then('an entry with peer keys "" is not heard by one with peer keys "{receiver}"')
def ignore_clear(context, receiver):
    ignore(context, "", receiver)


async def exchange(sender, receiver, seconds):
    """Send from one transport to another; return what was received."""
    where = free_address()
    hearing = zmq_transport.make(where, keys_of(receiver))
    telling = zmq_transport.make(free_address(), keys_of(sender))
    try:
        return await receive(hearing, seconds, lambda: telling.send(str(where), b"beat"))
    finally:
        telling.close()
        hearing.close()


def speak(stranger):
    """Send without waiting, also when the connection was refused."""
    with contextlib.suppress(zmq.Again):
        stranger.send(b"beat", zmq.NOBLOCK)


@then("a caller with its own key pair and the public peer key is not heard")
def ignore_stranger(context):
    async def main():
        where = free_address()
        hearing = zmq_transport.make(where, keys_of("old"))
        ctx = zmq.Context()
        stranger = ctx.socket(zmq.DEALER)
        stranger.curve_serverkey = keys_of("old")[0].public
        stranger.curve_publickey, stranger.curve_secretkey = zmq.curve_keypair()
        stranger.connect(f"tcp://{where}")
        try:
            return await receive(hearing, SILENT_SECONDS, lambda: speak(stranger))
        finally:
            ctx.destroy(linger=0)
            hearing.close()

    assert trio.run(main) == []


@then("a peer key that is damaged is refused without its text")
def refuse_key(context):
    for text in ("short", "\x01" * 40, SECRETS["old"][:-1]):
        try:
            curve_key.check_list(text)
        except ValueError as exc:
            assert text not in str(exc)
        else:
            raise AssertionError(f"{text!r} was taken")
    found = curve_key.parse(SECRETS["old"])
    assert SECRETS["old"] not in f"{found} {found!r}"
