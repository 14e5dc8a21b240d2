"""The daemon that runs one entry instance."""
