"""Decision logic for requests; rainhitch/interface.py defines its settings, events and actions."""
