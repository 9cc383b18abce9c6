"""What routers tell one another and share: advice that no router depends on.

`GossipExchange` decides, without sockets and clocks; `GossipTransport` carries its datagrams.
"""
