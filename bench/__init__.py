"""Benchmarks of scheduling decisions and of the cost of each process role."""
