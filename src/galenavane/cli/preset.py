"""``galenavane preset``."""

from __future__ import annotations

import expression
import trio

from galenavane.cli import acceptance
from galenavane.config import accept
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses


def preset(name: str, /, *, platform: addresses.Address) -> int:
    """Switch the preset in force.

    :param name: a declared preset
    :param platform: IP:port of the platform's object API
    """

    def change(
        current: accept.Current,
    ) -> expression.Result[acceptance.Wanted, failure.Failure]:
        if current.declared is None:
            text = "nothing has been applied yet"
            return expression.Error(failure.Failure(codes.Code.NOT_ACCEPTED, text))
        return acceptance.check_preset(current.declared, name)

    head = trio.run(acceptance.run, platform, change)
    print(f'accepted: generation {head.generation}, preset "{head.preset}"')
    return 0
