"""Decisions of a dispatcher that pushes jobs to workers."""

from dappleshunt.brain import Dispatcher

__all__ = ["Dispatcher"]
