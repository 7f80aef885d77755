"""What lives as long as one request of a caller or an operator."""
