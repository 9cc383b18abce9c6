"""Measurements: each prints figures, mostly ratios, taken side by side in one run. Not part of the checks.

`python -m benchmarks` lists them, `python -m benchmarks NAME [options]` runs one.
"""
