"""Every decision of a dispatcher: which worker gets an attempt, whether to retry, what to reject.

Pure: events go in, actions come out (``elderstall.interface``); time and random numbers are handed in, and
nothing here does I/O. ``dispatcher.Dispatcher`` routes each event to the part that it concerns.
"""

from elderstall.decisions.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
