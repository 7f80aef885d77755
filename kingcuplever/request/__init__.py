"""Everything with the lifetime of one request of a caller or an operator."""
