"""Generated classes for messages, settings and the fleet text, and their checks."""
