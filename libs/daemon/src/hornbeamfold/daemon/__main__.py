"""Runs the daemon: python -m hornbeamfold.daemon --settings FILE."""

from hornbeamfold.daemon.main import main

main()
