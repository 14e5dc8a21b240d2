"""Stand-ins: test doubles of the platform's services that run as separate processes."""
