"""Callers' plain HTTP, passed through to backend servers."""
