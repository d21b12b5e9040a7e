"""Compares placement policies of gateways in a discrete-event simulation.

The gateways decide with the product's own code. Engines, services, callers and
faults are simulated.
"""
