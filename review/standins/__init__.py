"""Stand-ins of the platform, its servers and its callers, for the cases beside it.

They need only the standard library, and speak what the users' pages say.
"""
