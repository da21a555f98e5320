"""The view of the fleet: subsets of large fleets and unreachable zones; no I/O, clock or randomness."""
