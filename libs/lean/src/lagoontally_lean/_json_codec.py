"""JSON by the C functions of the standard library.

The package ``json`` around them takes 10 ms at the start, most of it for ``re``;
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
    raise TypeError(f"{type(value).__name__} has no JSON form")


_scan = make_scanner(_ScannerOptions)
_encode = make_encoder(
    None, _reject_value, encode_basestring_ascii, None, ":", ",", False, False, False
)


def loads(text):
    """Return the value in a JSON text.

    Args:
        text: The text, ``str`` or bytes in UTF-8.

    Raises:
        ValueError: It is no JSON text, or nested too deeply.
    """
    if not isinstance(text, str):
        text = bytes(text).decode("utf-8")
    text = text.strip(_WHITESPACE)
    try:
        value, end = _scan(text, 0)
    except StopIteration as stop:
        raise ValueError(f"no JSON value at character {stop.value}") from None
    except SystemError:
        # The scanner raises the error class of ``json`` only if that is loaded,
        # and nothing at all otherwise.
        raise ValueError("the text is no JSON") from None
    except RecursionError:
        raise ValueError("the JSON value is nested too deeply") from None
    if end != len(text):
        raise ValueError(f"characters after the JSON value, from {end}")
    return value


def dumps(value):
    """Return the JSON text of a value, in ASCII and without spaces.

    Raises:
        TypeError: The value has no JSON form.
        ValueError: It holds a number that JSON doesn't know.
    """
    return "".join(_encode(value, 0))
