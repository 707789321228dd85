"""Load and experiment tool; never shipped."""
