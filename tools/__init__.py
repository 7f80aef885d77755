"""Tools that generate files of the project."""
