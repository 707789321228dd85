"""tamarackctl: the operators' command-line tool."""
