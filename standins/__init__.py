"""Small stand-ins for the users' platform; each records what it really did."""
