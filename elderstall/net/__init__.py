"""The wire: buffers, HTTP, the listener, the worker pools, discovery and event streams."""
