"""Overload control: storms of retries and reconnects are detected, limited, and paced out.

`OverloadController` in `controller.py` is the entry point of the router's host and of its decisions. No
module here does I/O or reads a clock: the time is passed in, in ns.
"""
