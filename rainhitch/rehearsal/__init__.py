"""The rehearsal kit: a day on one machine, with real routers and stand-ins for the world around them."""
