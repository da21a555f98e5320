"""The command line: modules that parse arguments, call into a package and print a table or JSON.

``run.py`` starts a dispatcher and imports nothing that a dispatcher does not need; every other command
belongs to the click group of ``group.py``.

Exit status: 0 success, 1 failure, 2 invalid usage or configuration.
"""
