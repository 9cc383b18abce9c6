"""Forecast of the effects of a change of the endpoint list, computed without traffic."""
