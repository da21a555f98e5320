"""Decisions of a dispatcher that pushes jobs to workers."""

from elderstall.choice import Dispatcher

__all__ = ["Dispatcher"]
