"""Small stand-ins for the endpoints and the platform; never shipped."""
