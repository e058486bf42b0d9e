"""Says afterwards why a call ended as it did: decision lines and reports."""
