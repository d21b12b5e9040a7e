"""The demonstration behind `make demo`."""
