"""Measurements, and the small emulator behind them."""
