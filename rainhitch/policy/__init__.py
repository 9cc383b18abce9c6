"""Every decision on a request. Its settings, events and actions: rainhitch/interface.py."""
