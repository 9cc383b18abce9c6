"""What a change of the endpoint list would move, worked out ahead and without traffic."""
