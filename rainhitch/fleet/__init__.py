"""Communication among routers: gossip, failure detection, shared quotas. A router runs without it too.

`GossipExchange` is the protocol logic, without sockets and clocks. `GossipTransport` sends and receives its
datagrams.
"""
