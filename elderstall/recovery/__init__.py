"""Decisions on recovery from failures: when to retry, and how a fleet avoids retrying all at once.

Nothing here does I/O or reads a clock; times and random numbers are passed in. The decisions and the network
code import this package; it imports neither.
"""
