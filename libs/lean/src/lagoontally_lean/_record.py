"""Named tuples without the modules that define them.

``typing.NamedTuple`` takes 17 ms for the records of a balancer and
``collections.namedtuple`` 6 ms, these 1 ms. They are used like named tuples.
"""

from _collections import _tuplegetter


class Record(tuple):
    """A tuple whose items have names.

    A subclass names them: ``class Point(Record, fields="x y")``.
    """

    __slots__ = ()
    _fields = ()

    def __init_subclass__(cls, *, fields, **options):
        super().__init_subclass__(**options)
        cls._fields = tuple(fields.split())
        for index, name in enumerate(cls._fields):
            setattr(cls, name, _tuplegetter(index, f"Item {index}."))

    def __new__(cls, *values, **named):
        """Return a record.

        Args:
            *values: Its first items.
            **named: The other ones by name.

        Raises:
            TypeError: An item is missing, or there are too many.
        """
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
        """Return the items by name."""
        return dict(zip(self._fields, self, strict=True))

    def _replace(self, **changes):
        """Return a copy in which some items differ."""
        return type(self)(**(self._asdict() | changes))
