"""The real router: the decisions of applehub.logic on real sockets."""
