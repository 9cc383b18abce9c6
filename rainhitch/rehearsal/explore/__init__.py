"""Fuzzing of whole rehearsals in virtual time, and model checking of the decisions alone.

    grammar.py      generates scenarios, and mutates them; no I/O
    coverage.py     what a run has reached, as a set of features; no I/O
    case_runner.py  runs a test case, and says what fails
    shrink.py       the smallest test case that still fails; no I/O
    corpus.py       test cases kept as scenario files, each with its seed
    explorer.py     the fuzzer: many processes at once, progress, bounds on time and memory
    model.py        the state space of a few requests, searched exhaustively; no I/O

A test case is a scenario's tables and a seed. It gives the same run each time, from these alone.
"""
