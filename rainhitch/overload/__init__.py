"""Overload control: detects storms of retries and reconnects and limits the load they cause.

`OverloadController` in `controller.py` is the entry point for the router's host and for its decisions. No
module in this package does I/O or reads a clock: callers pass the time in, in ns.
"""
