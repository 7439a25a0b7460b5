"""The cassiaquay daemon: one entry instance of the request scheduler."""
