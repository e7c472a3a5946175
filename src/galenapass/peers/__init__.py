"""Exchange membership, load and settings with the other daemons."""

from galenapass.peers.network import PeerNetwork

__all__ = ["PeerNetwork"]
