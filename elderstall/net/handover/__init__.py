"""The link between the two processes of an upgrade: messages, framing and rendezvous."""

from elderstall.net.handover.peers import Handover

__all__ = ["Handover"]
