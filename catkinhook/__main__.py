"""Run the command line as ``python -m catkinhook``."""

from catkinhook.cli import main

if __name__ == "__main__":
    main()
