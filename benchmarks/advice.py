"""The earlier name of `benchmarks.gossip`, under which pages name it."""

import sys

from benchmarks.gossip import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
