"""The configuration in force: release notes, catalogues, store, routes."""
