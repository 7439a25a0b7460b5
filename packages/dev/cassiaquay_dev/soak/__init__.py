"""A randomized fault soak: real daemons as processes, faults from outside, checks.

`python -m cassiaquay_dev.soak.main --seed 1` plays one seed; docs/SOAK.md tells more.
"""
