"""Client of the log service and the codec of its records."""
