"""What operators see and do: admin calls, explanations, burn, history and metrics.

The command line calls it over HTTP, and the other rooms tell it what ended. It must
not change what happens to a request, and nothing waits for it.
"""
