"""Paired experiments with what gateways decide, in a model of what they serve.

The decisions are the product's own code; engines, services, callers and faults
are modelled as discrete events.
"""
