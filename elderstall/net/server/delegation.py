"""Attributes of the listener that one of its parts holds."""

from __future__ import annotations

from typing import Any, Generic, TypeVar, cast

T = TypeVar("T")


class PartAttribute(Generic[T]):
    """An attribute that is read from, and set on, a part of its owner."""

    def __init__(self, part: str, name: str) -> None:
        self.part, self.name = part, name

    def __get__(self, owner: Any, kind: type | None = None) -> T:
        return cast("T", getattr(getattr(owner, self.part), self.name))

    def __set__(self, owner: Any, value: T) -> None:
        setattr(getattr(owner, self.part), self.name, value)
