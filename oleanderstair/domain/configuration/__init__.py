"""Adopts release notes, catalogues, and configurations from the store."""
