"""What all tests share: drawn examples are the same in each run, and none fails for being slow."""

from hypothesis import settings

settings.register_profile("suite", deadline=None, derandomize=True)
settings.load_profile("suite")
