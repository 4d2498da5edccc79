"""Translation between the protocol of the users' platform and the program's own types.

Decisions about requests and servers are made in other packages.
"""
