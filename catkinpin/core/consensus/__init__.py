"""Agreement on a replicated log: election, leases, replication, members.

Deterministic and without I/O: `core.Core` takes events and a time and hands
out commands; whoever drives it owns the disk, the network and the clock.
"""
