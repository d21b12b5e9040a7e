"""Consensus on a replicated log: elections, leases, replication, membership.

The package is deterministic and does no I/O. `core.Core` takes events and the
time and returns commands; its driver owns the disk, the network and the clock.
"""
