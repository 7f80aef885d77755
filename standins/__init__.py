"""Small stand-ins for the platform, with a truth of their own."""
