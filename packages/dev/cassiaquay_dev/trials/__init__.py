"""Load, measurement and history checks of real daemons against stand-ins."""
