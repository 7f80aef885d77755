"""Tests of kingcuplever."""
