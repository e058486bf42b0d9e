"""The rows and tables that systems read and change."""
