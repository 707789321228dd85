"""The router's path for sites whose callers and endpoints speak through an adapter."""
