"""At-most-once execution of non-idempotent requests by means of tickets."""
