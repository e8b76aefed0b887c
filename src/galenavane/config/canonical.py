"""Encodes declarations as canonical JSON sections: equal declarations give equal text."""

from __future__ import annotations

import msgspec

from galenavane.config import declaration


def encode_sections(declared: declaration.Declarations) -> dict[str, str]:
    """Return the canonical JSON text of each section by section name."""
    return {
        field: msgspec.json.encode(getattr(declared, field), order="deterministic").decode()
        for field in declaration.Declarations.__struct_fields__
    }


def decode_sections(sections: dict[str, str]) -> declaration.Declarations:
    """Build declarations from the texts of their sections by section name.

    :raises msgspec.DecodeError: when a section is missing or damaged.
    """
    parts = {name: msgspec.json.decode(text) for name, text in sections.items()}
    return msgspec.convert(parts, declaration.Declarations)
