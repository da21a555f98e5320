"""Every decision of a dispatcher: which worker gets an attempt, whether to retry, what to reject.

The package is pure: it maps events to actions (``elderstall.interface``). Time and random numbers are passed
in, and nothing here does I/O. ``dispatcher.Dispatcher`` routes each event to the component that handles it.
"""

from elderstall.decisions.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
