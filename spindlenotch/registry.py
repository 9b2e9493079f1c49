"""
Registries of factories, filled by decorators.

Selection policies, drivers, dialects and clocks are looked up by the name in the
bundle or the settings. A plug-in module registers its factory when it is imported;
``entry.plugins.load`` imports those of the entry daemon.
"""

import typing
from collections import abc

Factory = typing.TypeVar("Factory", bound=abc.Callable[..., object])


class Registry(typing.Generic[Factory]):
    """
    The factories of one ``kind``, by name.

    Registering a name twice is a programming error and raises ``ValueError``.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.factory_by_name: dict[str, Factory] = {}

    def register(self, name: str) -> abc.Callable[[Factory], Factory]:
        """Return a decorator that registers a factory as ``name``."""

        def add(factory: Factory) -> Factory:
            if name in self.factory_by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.factory_by_name[name] = factory
            return factory

        return add

    def get(self, name: str) -> Factory:
        """Return the factory of ``name``; raise ``KeyError`` if there is none."""
        return self.factory_by_name[name]

    def names(self) -> tuple[str, ...]:
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self.factory_by_name))
