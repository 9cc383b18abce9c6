"""Storms of retries and reconnects: seen, damped, and told to clients. No I/O; the router's host calls
`Damper`."""
