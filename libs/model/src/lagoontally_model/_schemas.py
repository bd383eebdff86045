"""The JSON Schemas of the documents, generated from their types.

``python -m lagoontally_model._schemas`` writes the committed files anew.
"""

import json
from pathlib import Path

import msgspec

from ._documents import SettingsDocument, SourceDocument, TemplateDocument

DIALECT = "https://json-schema.org/draft/2020-12/schema"
SCHEMA_FOLDER = Path(__file__).parent / "schema"
KINDS = {
    "template": TemplateDocument,
    "settings": SettingsDocument,
    "source": SourceDocument,
}


def schema_text(name: str) -> str:
    """Return the text of a document's JSON Schema.

    Args:
        name: ``template``, ``settings`` or ``source``.

    Returns:
        Indented JSON with a line feed at its end.
    """
    schema = {"$schema": DIALECT} | msgspec.json.schema(KINDS[name])
    return json.dumps(schema, indent=2) + "\n"


def write_schemas() -> None:
    """Write every schema to its committed file."""
    for name in KINDS:
        (SCHEMA_FOLDER / f"{name}.schema.json").write_text(schema_text(name))


if __name__ == "__main__":
    write_schemas()
