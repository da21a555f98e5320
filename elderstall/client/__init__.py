"""The client library: deadlines, retries and reconnects, shared by all client processes.

It holds decisions without I/O (``policy``, ``budget``, ``targets``, ``reconnect``), the protocol they need,
and thin I/O layers for Twisted, threads and asyncio that carry them out. The caller passes in time and random
numbers. Dispatchers import nothing from here.
"""
