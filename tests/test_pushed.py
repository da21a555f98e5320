"""Settings derived from the way the endpoint list arrives, and from a missing drain time."""

from __future__ import annotations

import unittest

from elderstall.config import parse_config
from tests.scenario import RULES, platform


class ListCallers(unittest.TestCase):
    def test_a_pushed_list_has_one_caller_and_a_polled_list_all_dispatchers(self) -> None:
        polled = parse_config(platform(discovery="subscribe", balancers=200), {}).settings
        pushed = parse_config(platform(discovery="automatic", balancers=200), {}).settings
        self.assertEqual((True, 200), (polled.watches_list, polled.list_callers))
        self.assertEqual((True, 1), (pushed.watches_list, pushed.list_callers))


class StopSendingWithin(unittest.TestCase):
    def test_without_a_setting_only_one_tick_is_left_for_sending(self) -> None:
        """The default must not be the 2 s of the first deployment."""
        rules = {name: value for name, value in RULES.items() if name != "stop_sending_within"}
        # One tick.
        self.assertEqual(2.0, parse_config(platform(rules=rules), {}).settings.stop_sending_within)


if __name__ == "__main__":
    unittest.main()
