"""Processes, ports and faulty connections on the loopback interface."""
