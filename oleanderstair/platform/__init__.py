"""Translates between the product and the users' platform.

The names on the wire are the product's own, by ``deploy/wire.toml``; what
is left to translate is here, and no decision is.
"""
