"""A randomized fault soak: daemons as processes, faults injected from outside, checks.

`python -m cassiaquay_dev.soak.main --seed 1` runs one seed; docs/SOAK.md has details.
"""
