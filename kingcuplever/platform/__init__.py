"""The adapter to the users' platform: translates, and decides nothing.

Only modules here know the platform's names.  Each message is decoded once
into the product's types, and the product's answers are encoded again.
"""
