"""Translation between the users' platform and the product; no decisions are made here."""
