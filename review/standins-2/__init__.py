"""Stand-ins of the platform, its workers and its clients; standard library only."""
