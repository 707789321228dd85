"""The router for platforms that are connected by an adapter."""
