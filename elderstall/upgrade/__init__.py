"""The program's side of an upgrade: hand-over to and from the peer processes."""

from elderstall.upgrade.upgrade import Upgrade

__all__ = ["Upgrade"]
