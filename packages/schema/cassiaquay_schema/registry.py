"""Registries of named implementations, filled by decorators."""

import collections.abc
import typing

Item = typing.TypeVar("Item")


class Registry(typing.Generic[Item]):
    """Implementations of one kind, by name.

    Parameters
    ----------
    kind : str
        Kind of the registered items, for error messages.

    Examples
    --------
    >>> policies = Registry("policy")
    >>> @policies.register("first-come")
    ... class FirstCome: ...
    >>> policies.get("first-come").__name__
    'FirstCome'
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, Item] = {}

    def register(self, name: str) -> collections.abc.Callable[[Item], Item]:
        """Return a decorator that registers its argument under ``name``."""

        def add(item: Item) -> Item:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> Item:
        """Return the item with a name; raise LookupError that lists all names."""
        if name not in self._items:
            known = ", ".join(sorted(self._items))
            raise LookupError(f"no {self._kind} {name!r}; there are: {known}")
        return self._items[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._items)
