"""The program's side of an upgrade: what goes to the other process, and what comes from it."""

from elderstall.upgrade.upgrade import Upgrade

__all__ = ["Upgrade"]
