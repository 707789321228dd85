"""Every decision of the router fleet, free of sockets, threads, files and wall clocks."""
