"""Style checks of the source code, for `make lint`."""
