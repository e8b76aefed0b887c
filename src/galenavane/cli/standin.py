"""``galenavane standin``."""

from __future__ import annotations

import functools
import uuid
from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses
from galenavane.net import message, round_trip, tcp, transport_error
from galenavane.observe import events
from galenavane.standin import engine as engines
from galenavane.standin import engine_faults, plain_service, tcp_proxy
from galenavane.standin import platform as platforms
from galenavane.store import instance

REGISTER_SECONDS = 5.0
REGISTER_PAUSE_SECONDS = 0.2


def platform(listen: addresses.Address, /) -> int:
    """Run the stand-in platform.

    :param listen: IP:port to listen on
    """
    events.start_logging("platform", "", uuid.uuid4().hex, None)
    trio.run(platforms.run, tcp.make(), listen)
    return 0


def engine(
    name: str,
    listen: addresses.Address,
    /,
    *,
    platform: addresses.Address,
    data_centre: str,
    fabric_domain: str,
    ignore_tokens: bool = False,
    capacity: int = 32,
    token_seconds: float = 0.02,
) -> int:
    """Run a stand-in engine, one member of a group.

    :param name: name of the instance
    :param listen: IP:port to listen on
    :param platform: IP:port of the platform, which lists this instance
    :param data_centre: data centre of the instance
    :param fabric_domain: fabric domain of the instance
    :param ignore_tokens: execute commands with outdated fencing tokens too
    :param capacity: largest number of requests in a batch
    :param token_seconds: duration of a decoding step in seconds
    """
    incarnation = uuid.uuid4().hex
    events.start_logging(name, data_centre, incarnation, None)
    parameters = engine_faults.Parameters(capacity=capacity, token_seconds=token_seconds)
    faults = engine_faults.Faults(checks_token=not ignore_tokens)
    instance_record = instance.Instance(
        name, str(listen), data_centre, instance.Kind.ENGINE, fabric_domain=fabric_domain
    )
    serve = functools.partial(
        engines.run, tcp.make(), name, listen, parameters, faults, incarnation
    )
    trio.run(_serve_and_register, platform, instance_record, serve)
    return 0


def fleet(
    listen: addresses.Address,
    /,
    *,
    platform: addresses.Address,
    data_centre: str,
    count: int,
    first: int = 0,
    domain_size: int = 32,
) -> int:
    """Run many stand-in engines in one process, to measure the load that they put on entries.

    :param listen: IP:port of the first engine; the others use the ports after it
    :param platform: IP:port of the platform, which lists the instances
    :param data_centre: data centre of the instances
    :param count: number of instances
    :param first: number of the first instance
    :param domain_size: instances in one fabric domain
    """
    events.start_logging(f"fleet-{first}", data_centre, uuid.uuid4().hex, None)
    instance_records = [
        instance.Instance(
            f"engine-{number}",
            f"{listen.host}:{listen.port + number - first}",
            data_centre,
            instance.Kind.ENGINE,
            fabric_domain=f"domain-{number // domain_size}",
        )
        for number in range(first, first + count)
    ]
    trio.run(_serve_fleet, platform, instance_records)
    return 0


async def _serve_fleet(
    platform_address: addresses.Address, instance_records: list[instance.Instance]
) -> None:
    parameters = engine_faults.Parameters()
    async with trio.open_nursery() as nursery:
        for instance_record in instance_records:
            serve = functools.partial(
                engines.run,
                tcp.make(),
                instance_record.name,
                addresses.parse(instance_record.address),
                parameters,
                engine_faults.Faults(),
                uuid.uuid4().hex,
            )
            await nursery.start(serve)
            await register_instance(platform_address, instance_record)


def plain(
    name: str,
    listen: addresses.Address,
    /,
    *,
    platform: addresses.Address,
    data_centre: str,
    service: str,
) -> int:
    """Run a stand-in process of a plain service.

    :param name: name of the instance
    :param listen: IP:port to listen on
    :param platform: IP:port of the platform, which lists this instance
    :param data_centre: data centre of the instance
    :param service: service that the instance belongs to
    """
    events.start_logging(name, data_centre, uuid.uuid4().hex, None)
    instance_record = instance.Instance(
        name, str(listen), data_centre, instance.Kind.PLAIN, service=service, accelerators=0
    )
    serve = functools.partial(plain_service.run, tcp.make(), name, listen)
    trio.run(_serve_and_register, platform, instance_record, serve)
    return 0


def link(
    listen: addresses.Address, target: addresses.Address, control: addresses.Address, /
) -> int:
    """Relay TCP connections and cut, delay or silence them on demand.

    :param listen: IP:port to listen on
    :param target: IP:port to relay to
    :param control: IP:port that takes ``POST /faults``
    """
    events.start_logging("link", "", uuid.uuid4().hex, None)
    trio.run(tcp_proxy.run, tcp.make(), listen, target, control)
    return 0


async def _serve_and_register(
    platform_address: addresses.Address,
    instance_record: instance.Instance,
    serve: abc.Callable[..., abc.Awaitable[None]],
) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(serve)
        await register_instance(platform_address, instance_record)


async def register_instance(
    platform_address: addresses.Address, instance_record: instance.Instance
) -> None:
    """Register an instance at the stand-in platform, which then lists it.

    :raises failure.UserError: when the platform does not answer for ``REGISTER_SECONDS``.
    """
    req = message.json_request("POST", "/v1/instances", instance_record)
    with trio.move_on_after(REGISTER_SECONDS):
        while True:
            try:
                await round_trip.send(tcp.make(), platform_address, req, REGISTER_SECONDS, 10_000)
                return
            except transport_error.TransportError:
                await trio.sleep(REGISTER_PAUSE_SECONDS)
    text = f"the stand-in platform at {platform_address} does not answer"
    raise failure.UserError(failure.Failure(codes.Code.PLATFORM_DOWN, text))
