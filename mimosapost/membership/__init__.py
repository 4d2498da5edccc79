"""Fleet membership, gossip and the newest accepted configuration."""
