"""What lives as long as one connection to a peer or an outside system."""
