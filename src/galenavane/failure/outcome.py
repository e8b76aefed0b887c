"""Outcomes: what is known about whether a request was run."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """How a request ended, as far as the system can prove it."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
