"""Adapts the product to the users' platform.

``deploy/wire.toml`` maps the platform's names on the wire to the product's
own names. This package converts the remaining formats; the decision code is in
``oleanderstair.domain``.
"""
