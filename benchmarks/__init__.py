"""Measurements: each prints ratios taken side by side in one run. Not part of the checks."""
