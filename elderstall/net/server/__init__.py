"""The listener: clients, ``/up`` and workers' ``/callback`` on one address.

From the bottom up: ``requests`` parses request heads, ``admission`` limits connections, ``state`` holds the
state of a connection and ``closing`` ends it; ``request_connection`` answers its requests and ``connection``
is the protocol that Twisted calls; ``callbacks`` handles workers' callbacks, ``handing_over`` hands
connections over in an upgrade, and ``listener`` combines these. ``streams`` adds progress events.
"""
