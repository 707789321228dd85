"""tamarackd: the router that runs on every entry instance."""
