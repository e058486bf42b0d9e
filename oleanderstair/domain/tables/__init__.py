"""The state of an instance: tables and rows that systems read and change."""
