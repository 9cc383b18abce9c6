"""The endpoint list from etcd, which may replace the platform's discovery."""
