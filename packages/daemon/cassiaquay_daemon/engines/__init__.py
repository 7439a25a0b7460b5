"""Control of model engines outside the request path.

Sends orders to engines (which model, adapter or role to load) and reads their load
reports and cache events. The daemon runs these as background tasks; operators see the
results. Requests must never depend on them: an engine that ignores every order still
serves.
"""
