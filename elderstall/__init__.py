"""A job dispatcher that pushes jobs to workers."""

from elderstall.decisions import Dispatcher

__all__ = ["Dispatcher"]
