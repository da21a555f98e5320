"""The listener: clients, ``/up`` and workers' ``/callback`` on one address.

From the bottom up: ``requests`` reads heads, ``admission`` limits connections, ``state`` and ``closing`` are
what a connection is and how it ends; ``request_connection`` answers its requests and ``connection`` is what
Twisted calls; ``callbacks`` takes what workers report, ``handing_over`` moves connections in an upgrade, and
``listener`` puts these together. ``streams`` adds progress.
"""
