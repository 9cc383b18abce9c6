"""The stand-ins for what surrounds a router, importable one by one: nodes, database, discovery, links,
datagrams.

Each runs on the loop of whoever starts it. `python -m rainhitch.rehearsal.fakes ROLE` hosts one part of a
day in a process of its own, as the kit does.
"""
