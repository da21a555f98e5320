"""Cost of one dispatcher as the fleet grows: slopes over workers, dispatchers, churn, teams and classes.

``python -m benchmarks.scale`` runs the engine and the decisions on virtual time with a stub transport that
answers every request itself; ``python -m benchmarks.scale.larger`` runs the program as a process over
sockets. ``docs/CAPACITY.md`` has the conclusions. Times are of one process on one core of the current
machine, so only ratios within one run can be compared.
"""
