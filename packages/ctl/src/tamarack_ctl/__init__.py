"""tamarackctl: the operators' command line."""
