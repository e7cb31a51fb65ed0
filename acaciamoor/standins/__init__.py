"""Small stand-ins for outside systems; never installed on a site."""
