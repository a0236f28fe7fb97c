"""Routing of streams over engines that each run a range of layers."""
