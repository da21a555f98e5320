"""The link between the two processes of an upgrade: messages, framing, and how they find each other."""

from elderstall.net.handover.peers import Handover

__all__ = ["Handover"]
