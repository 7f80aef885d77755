"""Adapter to the users' platform: translates messages, decides nothing.

Only modules in this package use the platform's names.  Each message from the
platform is decoded once into kingcuplever's types, and replies are encoded
back.
"""
