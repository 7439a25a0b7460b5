"""Messages, settings and the fleet text from one schema, and their checks."""
