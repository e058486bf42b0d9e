"""Membership of the fleet and the messages between its instances."""
