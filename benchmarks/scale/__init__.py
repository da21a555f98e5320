"""What one dispatcher costs as the fleet grows: slopes over workers, dispatchers, churn, teams and classes.

``python -m benchmarks.scale`` measures, ``python -m benchmarks.scale.larger`` the program as a process over
sockets; ``docs/CAPACITY.md`` says what follows. Elsewhere dispatchers and workers are
hollow: the real core and module on virtual time, with a carrier that answers by itself. Times are of one
process on one core of the machine at hand, so quote ratios within one run.
"""
