"""Stand-ins of the second review: clients, workers, discovery, a network and the platform.

They use the standard library alone and talk to the dispatcher over loopback sockets only.
"""
