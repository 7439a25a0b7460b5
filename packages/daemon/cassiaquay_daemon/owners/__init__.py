"""Owners, which accept requests, check limits, dispatch them and hold their answers.

The ``interface`` package submits requests and reads the streams of their answers. This
package must not depend on the HTTP interface for callers or on how keepers decide.
"""
