"""Decisions on tenants' quotas. Nothing here does I/O; times are passed in."""
