"""JSON encoding and decoding with the C functions of the standard library.

The package ``json`` around them takes 10 ms at startup, most of it for ``re``;
``ujson`` takes 5 ms.
"""

from _json import encode_basestring_ascii, make_encoder, make_scanner

_WHITESPACE = " \t\n\r"


class _ScannerOptions:
    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int

    @staticmethod
    def parse_constant(name):
        raise ValueError(f"{name} is no JSON value")


def _reject_value(value):
    raise TypeError(f"{type(value).__name__} is not JSON serializable")


_scan = make_scanner(_ScannerOptions)
_encode = make_encoder(
    None, _reject_value, encode_basestring_ascii, None, ":", ",", False, False, False
)


def loads(text):
    """Return the value of a JSON document.

    Args:
        text: The document, a ``str`` or bytes in UTF-8.

    Raises:
        ValueError: It isn't valid JSON, or is nested too deeply.
    """
    if not isinstance(text, str):
        text = bytes(text).decode("utf-8")
    text = text.strip(_WHITESPACE)
    try:
        value, end = _scan(text, 0)
    except StopIteration as stop:
        raise ValueError(f"no JSON value at character {stop.value}") from None
    except SystemError:
        # The scanner raises the error class of ``json``. If that isn't loaded, it
        # returns an error without an exception, which becomes a SystemError.
        raise ValueError("the text is no JSON") from None
    except RecursionError:
        raise ValueError("the JSON value is nested too deeply") from None
    if end != len(text):
        raise ValueError(f"characters after the JSON value, from {end}")
    return value


def dumps(value):
    """Return a value as JSON, in ASCII and without spaces.

    Raises:
        TypeError: The value isn't JSON serializable.
        ValueError: It contains NaN or an infinite number.
    """
    return "".join(_encode(value, 0))
