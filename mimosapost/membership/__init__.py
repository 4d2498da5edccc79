"""Peers, gossip and the newest configuration."""
