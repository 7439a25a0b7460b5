"""Measured costs of each role per unit of load, and their sum at the target size."""
