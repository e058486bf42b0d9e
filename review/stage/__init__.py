"""Stand-ins and process control that the scripts 11 to 15 share."""
