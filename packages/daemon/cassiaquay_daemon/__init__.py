"""The cassiaquay daemon: one instance of the request scheduler."""
