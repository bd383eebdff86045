"""Logging of state changes as text or JSON on standard error."""

import json
import logging
import sys

LOGGER_NAME = "lagoontally"
REDACTED = "<hidden>"
_SECRET_WORDS = ("key", "token", "echo", "secret", "password")

logger = logging.getLogger(LOGGER_NAME)


def redact_fields(fields):
    """Redact secrets and bytes in the fields of a log record.

    Args:
        fields: Values by name; may be nested.

    Returns:
        A copy in which secrets are redacted and bytes are replaced by their length.
    """
    return {str(name): _redact_field(name, value) for name, value in fields.items()}


def _redact_field(name, value):
    lowered = str(name).lower()
    if any(word in lowered for word in _SECRET_WORDS):
        return REDACTED
    return _redact_value(value)


def _redact_value(value):
    if isinstance(value, bytes | bytearray | memoryview):
        return f"<{len(value)} bytes>"
    if isinstance(value, dict):
        return redact_fields(value)
    if hasattr(value, "_asdict"):
        return redact_fields(value._asdict())
    if isinstance(value, list | tuple | set | frozenset):
        return [_redact_value(item) for item in value]
    if value is None or isinstance(value, bool | int | float | str):
        return value
    return str(value)


class TextFormatter(logging.Formatter):
    """Formats a record as one line of text, with its fields as ``name=value``."""

    def format(self, record):
        """Return the line of a record."""
        line = super().format(record)
        fields = getattr(record, "fields", {})
        return " ".join([line, *(f"{name}={value}" for name, value in fields.items())])


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object on one line."""

    def format(self, record):
        """Return the line of a record."""
        document = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "logger": record.name,
            "text": record.getMessage(),
        }
        fields = getattr(record, "fields", {})
        if fields:
            document["fields"] = fields
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        return json.dumps(document)


def configure_logging(level, format):
    """Configure logging to standard error for this process.

    Args:
        level: Name of a ``logging`` level.
        format: ``text`` or ``json``.
    """
    formatter = TextFormatter("%(asctime)s %(levelname)s %(message)s")
    if format == "json":
        formatter = JsonFormatter()
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


def log_change(action):
    """Log the state change of a ``LogChange``."""
    level = logging.getLevelNamesMapping().get(action.level.upper(), logging.INFO)
    fields = redact_fields(action.fields)
    logger.log(level, "%s", action.text, extra={"fields": fields})
