"""Decision logic of the router fleet, without sockets, threads, files or wall clocks."""
