"""Every decision of a dispatcher: which worker gets an attempt, whether to retry, what to reject.

The package is pure: it maps events to actions (``elderstall.interface``). Time and random numbers are passed
in, and nothing here does I/O. ``dispatcher.Dispatcher`` routes each event to the component that handles it.

Terms for workers and shares of them:

* fleet fraction: of the whole fleet's capacity, that this dispatcher may use (``capacity``);
* slot share: slots of one worker that this dispatcher may use (``capacity``);
* owned: of a preference position below the owned fraction; polled and used first where workers are polled;
* preferred: of a preference position below the preferred fraction; used first where workers are many;
* reserved: closed to long jobs at every dispatcher, for urgent ones (``reserved_workers``);
* shared: of kinds too small to be divided into pools, so that each serves every tier (``endpoints``).
"""

from elderstall.decisions.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
