"""How requests wait, are placed, are shed and are limited: state and arithmetic only.

The keepers and the gateway bring in what happened and carry out what is decided. It
must not open connections, read settings from files or await anything, so that each
policy can be played in virtual time.
"""
