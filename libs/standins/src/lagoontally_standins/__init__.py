"""Stand-ins for the outside systems, with the load tool."""
