"""Who calls for the list, where it is asked for and where an agent pushes it."""

from __future__ import annotations

import unittest

from elderstall.config import config_of
from tests.scenario import platform


class Pushed(unittest.TestCase):
    def test_settings_say_who_calls_for_the_list(self) -> None:
        asks = config_of(platform(discovery="subscribe", balancers=200), {}).settings
        pushed = config_of(platform(discovery="automatic", balancers=200), {}).settings
        self.assertEqual((True, 200), (asks.must_follow, asks.callers))
        self.assertEqual((True, 1), (pushed.must_follow, pushed.callers))


if __name__ == "__main__":
    unittest.main()
