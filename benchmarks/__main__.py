"""Lists the benchmarks, or runs one.

    python -m benchmarks                    lists them, with what each measures
    python -m benchmarks NAME [options]     runs one; --help shows its options

A benchmark is a module of this package with a function `main(arguments)`. `python -m benchmarks.NAME
[options]` does the same.
"""

import importlib
import sys

# By name; what each measures.
BENCHMARKS = {
    "callbacks": "CPU time of a router's callbacks by kind (the cost table of virtual time)",
    "client_pressure": "peak memory, and what usual clients get beside clients that press on memory or time",
    "fleet": "service behind 3 to 300 routers with the same load and servers, in virtual time",
    "gossip": "CPU time of a gossip datagram beside that of a request",
    "growth": "load on the database while cache servers join and leave",
    "kit_lateness": "how late the kit itself runs, and the spread of service over repeats of one seed",
    "membership": "time from a drain to its effect, by etcd's watch and by discovery, and its cost",
    "mutants": "whether `rainhitch explore` finds faults that are put into the router on purpose",
    "refusals": "CPU time of a served and of a rejected request; memory of an idle connection",
    "rehearsals": "every shipped scenario over several seeds, beside the kit's plain router",
    "resp3": "RESP3: mutated frames, cost of the codec, CPU time of a request by protocol versions",
    "scale": "CPU time and memory with 9 to 500 cache servers, in virtual time",
    "storms": "a storm of reconnects with overload control, without, and with an earlier router",
    "telemetry": "CPU time of a second's record beside that of a request",
}
OLD_NAMES = {"advice": "gossip", "rig": "kit_lateness"}
BAD_INPUT = 2


def listing() -> str:
    """A line for each benchmark."""
    width = max(map(len, BENCHMARKS))
    return "\n".join(f"{name:{width}}  {measures}" for name, measures in BENCHMARKS.items())


def main(arguments: list[str]) -> int:
    """Runs the benchmark that the first argument names; gives the exit code."""
    if not arguments or arguments[0] in ("-h", "--help"):
        print(f"python -m benchmarks NAME [options]\n\n{listing()}")
        return 0
    name = OLD_NAMES.get(arguments[0], arguments[0])
    if name not in BENCHMARKS:
        print(f"benchmarks: no benchmark {arguments[0]!r}; there are:\n{listing()}", file=sys.stderr)
        return BAD_INPUT
    module = importlib.import_module(f"benchmarks.{name}")
    return int(module.main(arguments[1:]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
