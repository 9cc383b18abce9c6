"""Codecs of the protocols that the router speaks; no sockets, no clocks.

Each reader is fed with bytes as they come and gives whole messages. `resp` and `resp2_reader` are RESP2,
`resp3_*` are RESP3, `http1` is the client's side of HTTP/1.1, `etcd` holds the messages of etcd's API.

Of these the rehearsal kit's fakes share `etcd` only; why, its docstring says. The fakes of cache servers, of
the origin and of discovery, and the kit's clients, read and write RESP and HTTP with code of their own, so
that a mistake of a codec here is not made at both ends.
"""
