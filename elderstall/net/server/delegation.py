"""Attributes that an object delegates to one of its components."""

from __future__ import annotations

from typing import Any, Generic, TypeVar, cast

T = TypeVar("T")


class DelegatedAttribute(Generic[T]):
    """A descriptor that reads and sets an attribute of one of its owner's components."""

    def __init__(self, component: str, name: str) -> None:
        self.component = component
        self.name = name

    def __get__(self, owner: Any, kind: type | None = None) -> T:
        return cast("T", getattr(getattr(owner, self.component), self.name))

    def __set__(self, owner: Any, value: T) -> None:
        setattr(getattr(owner, self.component), self.name, value)
