"""Checks of how the code is written, for `make lint`."""
