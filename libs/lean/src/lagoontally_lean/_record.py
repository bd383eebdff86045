"""Named tuples that are cheap to define.

For all records of a balancer ``typing.NamedTuple`` takes 17 ms at startup,
``collections.namedtuple`` 6 ms and ``Record`` 1 ms.
"""

from _collections import _tuplegetter


class Record(tuple):
    """A named tuple whose subclasses list their fields.

    Example: ``class Point(Record, fields="x y z", defaults=(0,))``. The defaults are
    those of the last fields.
    """

    __slots__ = ()
    _fields = ()
    _defaults = {}

    def __init_subclass__(cls, *, fields, defaults=(), **options):
        super().__init_subclass__(**options)
        cls._fields = tuple(fields.split())
        first = len(cls._fields) - len(defaults)
        cls._defaults = dict(zip(cls._fields[first:], defaults, strict=True))
        for index, name in enumerate(cls._fields):
            setattr(cls, name, _tuplegetter(index, f"Item {index}."))

    def __new__(cls, *values, **named):
        """Return a record.

        Args:
            *values: Values of the first fields.
            **named: Values of the other fields by name.

        Raises:
            TypeError: The values don't match the fields.
        """
        if len(values) + len(named) < len(cls._fields) and cls._defaults:
            rest = cls._fields[len(values) :]
            defaults = cls._defaults
            named = {name: defaults[name] for name in rest if name in defaults} | named
        if named:
            rest = cls._fields[len(values) :]
            missing = [name for name in rest if name not in named]
            if missing or len(named) != len(rest):
                raise TypeError(f"{cls.__name__} takes {cls._fields}, got {rest}")
            values += tuple(named[name] for name in rest)
        elif len(values) != len(cls._fields):
            raise TypeError(f"{cls.__name__} takes {cls._fields}, got {values!r}")
        return tuple.__new__(cls, values)

    def __repr__(self):
        pairs = zip(self._fields, self, strict=True)
        items = ", ".join(f"{name}={value!r}" for name, value in pairs)
        return f"{type(self).__name__}({items})"

    def __getnewargs__(self):
        return tuple(self)

    def _asdict(self):
        """Return the fields as a dictionary."""
        return dict(zip(self._fields, self, strict=True))

    def _replace(self, **changes):
        """Return a copy with some fields replaced."""
        return type(self)(**(self._asdict() | changes))
