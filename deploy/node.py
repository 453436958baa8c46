"""Start a node on the platform.

This script isn't in ``comfreywharf``: the folder of a script comes first on Python's
path, and ``comfreywharf/platform`` would then hide the standard library's ``platform``.
"""

# Imported first, because it records when the process started: the imports below take
# most of a second, and the wait for grants of an earlier process counts from the start.
import comfreywharf.clock  # noqa: F401, I001
from comfreywharf.platform.main import main

if __name__ == "__main__":
    main()
