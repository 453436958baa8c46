"""Start a node on the platform.

It lies here and not beside ``comfreywharf/platform``: the folder of a script
comes first on Python's path, and a ``platform`` there would hide the standard
library's module of that name.
"""

# First of all, since it notes when the process began: the imports below take most of a
# second, and what an earlier process granted is waited out from then on.
import comfreywharf.clock  # noqa: F401, I001
from comfreywharf.platform.main import main

if __name__ == "__main__":
    main()
