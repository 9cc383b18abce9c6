"""The real router: the decisions of rainhitch.policy on real sockets."""
