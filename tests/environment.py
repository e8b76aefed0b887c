"""Shared set-up of all scenarios."""

from __future__ import annotations

import pathlib
import shutil
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent


def before_scenario(context, scenario):
    context.root = ROOT
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="galenavane-test-"))


def after_scenario(context, scenario):
    shutil.rmtree(context.folder, ignore_errors=True)
