"""Settings of an entry process."""

from __future__ import annotations

import typing

from galenavane.config import setting
from galenavane.net import address as addresses

_S = setting.Setting

NAME = _S("entry", "name", setting.parse_text, None, "", "Name of this entry, unique.")
DATA_CENTRE = _S("entry", "data_centre", setting.parse_text, None, "", "Where this entry runs.")
CALLERS = _S("entry", "callers", addresses.parse, None, "IP:port", "Where callers are served.")
READINESS = _S("entry", "readiness", addresses.parse, None, "IP:port", "Where the balancer asks.")
HOST = _S("entry", "host", setting.parse_text, None, "IP", "Address of this instance.")
PEER_PORT = _S("entry", "peer_port", setting.parse_count, None, "", "First port for other entries.")
BANDWIDTH = _S(
    "entry", "bandwidth", setting.parse_number, 0.0, "Mbit/s", "Of this instance's own link."
)
MEMORY = _S(
    "entry",
    "memory",
    setting.parse_positive,
    200.0,
    "MB",
    "Of this instance; a share of it may be used for bodies.",
)
STORE = _S("store", "address", addresses.parse, None, "IP:port", "The platform's store.")
GRACE = _S(
    "stop", "grace", setting.parse_number, 8.0, "seconds", "From the stop signal to the kill."
)
REVOKE = _S(
    "bounds", "revoke", setting.parse_number, 5.0, "seconds", "How long a removed key may work."
)
CONTACT = _S(
    "bounds", "contact", setting.parse_number, 3.0, "seconds", "In which entries hear of a change."
)
PROMPT_BLOCK = _S(
    "bounds",
    "prompt_block",
    setting.parse_number,
    30.0,
    "seconds",
    "How long a part of prompts that crashed targets is refused at first.",
)
RETRY_RATIO = _S(
    "bounds", "retry_ratio", setting.parse_number, 0.2, "", "Further sends for each request."
)
RETRY_WINDOW = _S(
    "bounds", "retry_window", setting.parse_number, 10.0, "seconds", "Window of the ratio."
)
RETRY_SLACK = _S(
    "bounds", "retry_slack", setting.parse_number, 100.0, "", "Further sends beyond the ratio."
)

ALL: tuple[_S[typing.Any], ...] = (
    NAME,
    DATA_CENTRE,
    CALLERS,
    READINESS,
    HOST,
    PEER_PORT,
    BANDWIDTH,
    MEMORY,
    STORE,
    GRACE,
    REVOKE,
    CONTACT,
    PROMPT_BLOCK,
    RETRY_RATIO,
    RETRY_WINDOW,
    RETRY_SLACK,
)
