"""tamarackd: the router that every entry instance runs."""
