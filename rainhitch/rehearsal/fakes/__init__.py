"""Fakes of the systems around a router: cache nodes, the order database, discovery, etcd, datagrams, clients.

A zone is a `room` in scenario files, plans and records. A cache node that goes down since it was sent too
much while cold collapses; in scenario files and records it tips, or falls. Each fake runs on the event loop
of whoever starts it. `python -m rainhitch.rehearsal.fakes ROLE FOLDER` hosts some
of them in a process of its own, as the rehearsal's environment does.

    listener, link, http_server what the fakes listen with, and the network faults; loop_with_network
    received_request            the base of their records of requests
    cache_node*                 cache nodes: model (no I/O), work, connections, life cycle
    database*, discovery        the order database, and its model; the endpoint list over HTTP
    etcd_*                      the endpoint list in etcd: store, watches, service, cluster
    datagrams                   what routers send one another
    client_script, client_connection, client_pool, clients
    worker, worker_messages, *_worker, worker_roles     the processes that host them; fault_parameters

What the fakes read and write is their own: they share no codec with the router, so that neither hides a
mistake of the other. The two exceptions are the parsers hiredis and httptools, which are not ours and which
tests with raw bytes try as well, and the table of etcd's field numbers (see `etcd_service`).
"""
