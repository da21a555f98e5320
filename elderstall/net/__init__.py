"""Network I/O: buffers, HTTP, the listener, the worker pools, discovery and event streams."""
