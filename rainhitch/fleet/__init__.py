"""What routers tell one another: advice, never needed by a router alone."""
