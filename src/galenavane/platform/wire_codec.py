"""Codec for the platform's wire format."""

from __future__ import annotations

from galenavane.catalog import catalog
from galenavane.control import group_command
from galenavane.fleet import target, target_report
from galenavane.gateway import codec
from galenavane.net import headers, message
from galenavane.platform import wire_config, wire_request, wire_target
from galenavane.serve import inbound_request, target_response


class _WireCodec:
    __slots__ = ()

    def decode_config(self, body: bytes) -> catalog.Catalog:
        return wire_config.decode(body)

    def decode_request(self, req: message.Request) -> inbound_request.InboundRequest:
        return wire_request.decode(req)

    def make_target_headers(
        self, inbound: inbound_request.InboundRequest, options: inbound_request.SendOptions
    ) -> headers.Headers:
        return wire_request.make_target_headers(inbound, options)

    def decode_response(
        self, inbound: inbound_request.InboundRequest, head: message.Response
    ) -> target_response.TargetResponse:
        return wire_request.decode_response(inbound, head)

    def decode_notice(self, head: message.Response) -> target_response.Notice:
        return wire_request.decode_notice(head)

    def make_command_request(self, command: group_command.Command) -> message.Request:
        return wire_target.make_command_request(command)

    def make_report_request(self) -> message.Request:
        return message.Request("GET", "/report")

    def decode_report(self, known: target.Target, body: bytes) -> target_report.TargetReport | None:
        return wire_target.decode_report(known, body)


def make() -> codec.Codec:
    """Return the codec for the platform's wire format."""
    return _WireCodec()
