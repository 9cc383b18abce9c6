"""The real router: the decisions of rainhitch.logic on real sockets."""
