"""What lives as long as one process: its state and its tasks."""
