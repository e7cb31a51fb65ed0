"""Stand-ins of the second review: store, backends, routers, requesters."""
