"""Simulations: scenarios with faults in virtual time, run through the real engine and the real decisions.

What belongs here: models of what surrounds a dispatcher (workers, network, list, clients), the file that
describes a scenario, its audit and its figures. No decision of a dispatcher is made here; the real code
makes it. The models know no sockets, except for ``serve`` and what it uses, which run the same workers on
loopback.
"""
