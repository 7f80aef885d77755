"""Benchmarks, and the emulator that some of them run on."""
