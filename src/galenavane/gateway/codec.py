"""Interface to the platform's wire formats, implemented by its adapter."""

from __future__ import annotations

import typing

from galenavane.catalog import catalog
from galenavane.control import group_command
from galenavane.fleet import target, target_report
from galenavane.net import headers, message
from galenavane.serve import inbound_request, target_response


class Codec(typing.Protocol):
    """Translates between the platform's wire formats and the product's types."""

    def decode_config(self, body: bytes) -> catalog.Catalog:
        """Decode a configuration.

        :raises ValueError: if it is malformed.
        """

    def decode_request(self, req: message.Request) -> inbound_request.InboundRequest:
        """Decode a client's request."""

    def make_target_headers(
        self, inbound: inbound_request.InboundRequest, options: inbound_request.SendOptions
    ) -> headers.Headers:
        """Return the headers for sending a request to a target."""

    def decode_response(
        self, inbound: inbound_request.InboundRequest, response: message.Response
    ) -> target_response.TargetResponse:
        """Decode the status and headers of a target's response to a request."""

    def decode_notice(self, response: message.Response) -> target_response.Notice:
        """Decode what a target's answer to anything says about further requests."""

    def make_command_request(self, command: group_command.Command) -> message.Request:
        """Return the request that sends a command to a target."""

    def make_report_request(self) -> message.Request:
        """Return the request for a target's report on itself."""

    def decode_report(
        self, listed_target: target.Target, body: bytes
    ) -> target_report.TargetReport | None:
        """Decode a target's report on itself.

        :param listed_target: the target as listed.
        :returns: ``None`` if the report is malformed.
        """
