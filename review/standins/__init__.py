"""Stand-ins of the users' platform for the scripts of this review; standard library only."""
