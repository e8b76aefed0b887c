"""Shared set-up of all scenarios."""

from __future__ import annotations

import pathlib
import shutil
import tempfile

import eliot

ROOT = pathlib.Path(__file__).resolve().parent.parent


def before_all(context):
    # Without a destination eliot keeps early events for the first one that is added.
    eliot.add_destinations(lambda found: None)


def before_scenario(context, scenario):
    context.root = ROOT
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="galenavane-test-"))


def after_scenario(context, scenario):
    shutil.rmtree(context.folder, ignore_errors=True)
