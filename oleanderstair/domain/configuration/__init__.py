"""Adopts configuration: release notes, catalogues, and routes of the store."""
