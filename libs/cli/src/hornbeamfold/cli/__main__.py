"""Entry point of `python -m hornbeamfold.cli`."""

from hornbeamfold.cli.main import main

main()
