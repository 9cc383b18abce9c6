"""The checker: finds what a router did wrong, from what all others recorded, and measures the service.

It reads the records of clients, nodes, database, discovery and links. It never believes a router's own
account, and it shares no code with the router's decisions, so that a mistake there can't hide itself here.

Each rule stands in a module of its own, which says the rule, its limit and its tolerance:

    lost_requests.py      each request that a router took gets exactly one final answer, in time
    forbidden_retries.py  no two attempts at once, no more than allowed, none that the class forbids
    sends_after_drain.py  no new request to a node that drains or is gone
    cold_overload.py      no cold node overloaded, no database stopped by misses at cold nodes
    crashes.py            no router ends that should not, or takes too much time or memory

`rules.py` applies them, `violations.py` has the type of what they find and the common tolerances,
`records.py` the types of the records, `evidence.py` puts the records of a run together; `service.py` and
`prices.py` measure.
"""
