"""
Registries that decorators fill.

The kernel finds its plug-ins (selection policies, store drivers, clocks) here
by the name that the bundle or the settings give. A plug-in module registers
its factory when it is imported; ``plugins.load`` imports them all.
"""

import typing
from collections import abc

Factory = typing.TypeVar("Factory", bound=abc.Callable[..., object])


class Registry(typing.Generic[Factory]):
    """
    Factories by name.

    A name is taken once: registering it again is a programming error and
    raises ``ValueError``.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.factory_by_name: dict[str, Factory] = {}

    def register(self, name: str) -> abc.Callable[[Factory], Factory]:
        """Return a decorator that files the factory under ``name``."""

        def file(factory: Factory) -> Factory:
            if name in self.factory_by_name:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self.factory_by_name[name] = factory
            return factory

        return file

    def get(self, name: str) -> Factory:
        """Return the factory of ``name``; raise ``KeyError`` where none is."""
        return self.factory_by_name[name]

    def names(self) -> tuple[str, ...]:
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self.factory_by_name))
