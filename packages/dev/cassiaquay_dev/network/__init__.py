"""Child processes, ports and fault-injecting proxies on the loopback interface."""
