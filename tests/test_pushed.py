"""Who calls for the list, where it is asked for and where an agent pushes it."""

from __future__ import annotations

import unittest

from elderstall.config import config_of
from tests.scenario import RULES, platform


class Pushed(unittest.TestCase):
    def test_settings_say_who_calls_for_the_list(self) -> None:
        asks = config_of(platform(discovery="subscribe", balancers=200), {}).settings
        pushed = config_of(platform(discovery="automatic", balancers=200), {}).settings
        self.assertEqual((True, 200), (asks.watches_list, asks.list_callers))
        self.assertEqual((True, 1), (pushed.watches_list, pushed.list_callers))


class Drains(unittest.TestCase):
    def test_where_the_settings_give_no_time_nothing_is_sent_that_late_at_all(self) -> None:
        """Not the 2 s of the first deployment."""
        rules = {name: value for name, value in RULES.items() if name != "stop_sending_within"}
        self.assertEqual(2.0, config_of(platform(rules=rules), {}).settings.stop_sending_within)  # one tick


if __name__ == "__main__":
    unittest.main()
