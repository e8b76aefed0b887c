"""How requests, answers and commands look on the wire; the adapter provides it."""

from __future__ import annotations

import typing

from galenavane.catalog import catalog
from galenavane.control import group_command
from galenavane.fleet import target
from galenavane.net import headers, message
from galenavane.serve import inbound_request, target_response


class Codec(typing.Protocol):
    """Translations between the wire and the product's types."""

    def decode_config(self, body: bytes) -> catalog.Catalog:
        """Return a configuration.

        :raises ValueError: when it can't be read.
        """

    def decode_request(self, req: message.Request) -> inbound_request.InboundRequest:
        """Return what a client's request asks for."""

    def make_target_headers(
        self, call: inbound_request.InboundRequest, send: inbound_request.SendOptions
    ) -> headers.Headers:
        """Return the headers with which a call is sent to a target."""

    def decode_answer(
        self, call: inbound_request.InboundRequest, response: message.Response
    ) -> target_response.TargetResponse:
        """Return what the head of a target's answer says."""

    def make_command_request(self, command: group_command.Command) -> message.Request:
        """Return the request that gives a command to a target."""

    def make_report_request(self) -> message.Request:
        """Return the request for a target's own report."""

    def decode_report(
        self, listed_target: target.Target, body: bytes
    ) -> tuple[target.Target, float] | None:
        """Return a target as it reports itself, and its pace; over 1 is slow."""
