"""The operators' endpoint of a running router: health, metrics, cordons, draining, and upgrades."""
