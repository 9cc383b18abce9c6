"""What routers write down of each second, and the sums of it over a fleet."""
