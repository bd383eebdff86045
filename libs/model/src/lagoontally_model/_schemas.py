"""Generation of the documents' JSON Schemas from their types.

``python -m lagoontally_model._schemas`` regenerates the committed files.
"""

import json
from pathlib import Path

import msgspec

from ._documents import SettingsDocument, SourceDocument, TemplateDocument

DIALECT = "https://json-schema.org/draft/2020-12/schema"
SCHEMA_FOLDER = Path(__file__).parent / "schema"
DOCUMENT_TYPES = {
    "template": TemplateDocument,
    "settings": SettingsDocument,
    "source": SourceDocument,
}


def schema_text(name: str) -> str:
    """Return the text of a document's JSON Schema.

    Args:
        name: ``template``, ``settings`` or ``source``.

    Returns:
        Indented JSON with a trailing line feed.
    """
    schema = {"$schema": DIALECT} | msgspec.json.schema(DOCUMENT_TYPES[name])
    return json.dumps(schema, indent=2) + "\n"


def write_schemas() -> None:
    """Write every schema to its committed file."""
    for name in DOCUMENT_TYPES:
        (SCHEMA_FOLDER / f"{name}.schema.json").write_text(schema_text(name))


if __name__ == "__main__":
    write_schemas()
