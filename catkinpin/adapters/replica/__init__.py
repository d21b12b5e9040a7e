"""The replica process: log groups, their members and hosts."""
