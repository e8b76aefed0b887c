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


def parse_keys(words):
    """Return the key pairs with these names in the feature."""
    return [curve_key.parse(SECRETS[word]) for word in words.split()]


def free_address():
    """Return an unused loopback address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return address.Address("127.0.0.1", listener.getsockname()[1])


async def receive(transport, seconds, send):
    """Return the first message that arrives within some seconds of calling ``send`` repeatedly."""
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
def check_heard(context, sender, receiver):
    assert trio.run(exchange, sender, receiver, HEARD_SECONDS) == [b"beat"]


@then('an entry with peer keys "" is heard by one with peer keys ""')
def check_heard_unencrypted(context):
    check_heard(context, "", "")


@then('an entry with peer keys "{sender}" is not heard by one with peer keys "{receiver}"')
def check_not_heard(context, sender, receiver):
    assert trio.run(exchange, sender, receiver, SILENT_SECONDS) == []


@then('an entry with peer keys "" is not heard by one with peer keys "{receiver}"')
def check_unencrypted_not_heard(context, receiver):
    check_not_heard(context, "", receiver)


async def exchange(sender, receiver, seconds):
    """Send from one transport to another; return the received messages."""
    bind_address = free_address()
    receiving = zmq_transport.make(bind_address, parse_keys(receiver))
    sending = zmq_transport.make(free_address(), parse_keys(sender))
    try:
        return await receive(receiving, seconds, lambda: sending.send(str(bind_address), b"beat"))
    finally:
        sending.close()
        receiving.close()


def send_ignoring_refusal(stranger):
    """Send without blocking; ignores that a rejected connection takes no message."""
    with contextlib.suppress(zmq.Again):
        stranger.send(b"beat", zmq.NOBLOCK)


@then("a sender with its own key pair and the public peer key is not heard")
def check_stranger_not_heard(context):
    async def main():
        bind_address = free_address()
        receiving = zmq_transport.make(bind_address, parse_keys("old"))
        ctx = zmq.Context()
        stranger = ctx.socket(zmq.DEALER)
        stranger.curve_serverkey = parse_keys("old")[0].public
        stranger.curve_publickey, stranger.curve_secretkey = zmq.curve_keypair()
        stranger.connect(f"tcp://{bind_address}")
        try:
            return await receive(receiving, SILENT_SECONDS, lambda: send_ignoring_refusal(stranger))
        finally:
            ctx.destroy(linger=0)
            receiving.close()

    assert trio.run(main) == []


@then("a malformed peer key is rejected without showing its text")
def check_damaged_key(context):
    for text in ("short", "\x01" * 40, SECRETS["old"][:-1]):
        try:
            curve_key.check_list(text)
        except ValueError as exc:
            assert text not in str(exc)
        else:
            raise AssertionError(f"malformed key {text!r} was accepted")
    key = curve_key.parse(SECRETS["old"])
    assert SECRETS["old"] not in f"{key} {key!r}"
