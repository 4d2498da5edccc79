"""Query tier that scatters each query to many shards and merges their answers."""
