"""Schedule of calls to discovery: when to retry, and how a fleet avoids retrying all at once.

Nothing here does I/O or reads a clock; times and random numbers are passed in. The decisions import this
package; it imports neither them nor the network code.
"""
