"""Simulations: bad scenarios in virtual time, with the real core and module inside.

What may enter: models of what surrounds a dispatcher (workers, network, list, clients), the script that
describes a scenario, its audit and its figures. No decision of a dispatcher is made here; the real ones run.
Models know no sockets, but for ``serve`` and what it uses, which put the same worker model on loopback.
"""
