"""A rehearsal on a virtual clock and network: the same router, fakes, scenarios and checker, in one process.

    loop.py               the event loop: how its clock runs, and which callback runs when
    process.py            one simulated process: its core, its clocks, its life
    costs.py              what a callback of a router costs
    network.py            addresses, connects, what dies with a process
    conditions.py         latency, bandwidth, split writes
    connection_socket.py  one end of a connection as a kernel has it
    transport.py          one end of a connection as an event loop has it
    listener.py           listening sockets, accept queues, servers
    descriptors.py        how many connections a process may have
    datagrams.py          datagrams
    system.py             the machine that a router runs on
    environment.py        the run: fakes and routers on one loop, faults, records
    runner.py             from a scenario to its report
    trace.py              every callback, and where two runs differ

Nothing here knows what a router decides.
"""
