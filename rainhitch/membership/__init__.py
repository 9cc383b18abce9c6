"""Where the list of servers comes from when it is not the platform's discovery: etcd's watch."""
