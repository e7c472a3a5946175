"""Exchange membership, load and settings with the other daemons."""

from galenapass.peers.network import Peers

__all__ = ["Peers"]
