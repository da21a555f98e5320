"""The client library's decisions about deadlines, retries, the choice of a dispatcher and reconnects.

The modules (``policy``, ``budget``, ``targets``, ``reconnect``) do no I/O: the caller carries out what they
decide and passes in time and random numbers. The simulated clients run ``policy`` and ``budget``. Dispatchers
import nothing from here.
"""
