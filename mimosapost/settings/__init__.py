"""Local and published settings: typed, checked, every fault at once."""
