"""Starts a balancer on an instance of the platform.

All modules of the program come from one file that the build has written. Looking
for 40 modules in folders takes a quarter of the time that they need, and the
collector of garbage another eighth; an instance serves nobody meanwhile.
"""

import gc
import sys
from _frozen_importlib import ModuleSpec  # ``importlib`` takes 2 ms more
from marshal import loads

PROGRAM = "program.bin"


class ProgramFinder:
    """Finds modules in the program's file.

    Args:
        modules: Whether each is a package, and its code, by name.
    """

    def __init__(self, modules):
        self.modules = modules

    def find_spec(self, name, _path=None, _target=None):
        """Return the spec of a module of the program, None for any other."""
        if name not in self.modules:
            return None
        is_package, _ = self.modules[name]
        return ModuleSpec(name, self, is_package=is_package)

    def create_module(self, _spec):
        """Leave it to the import system to make the module."""

    def exec_module(self, module):
        """Run a module's code."""
        _, code = self.modules[module.__name__]
        exec(code, module.__dict__)


def main():
    """Run the balancer; returns its exit status."""
    gc.disable()
    folder = __file__.rpartition("/")[0] or "."
    with open(f"{folder}/{PROGRAM}", "rb") as file:
        sys.meta_path.insert(0, ProgramFinder(loads(file.read())))

    from lagoontally_forwarder import main as run_balancer

    gc.freeze()  # what the imports made stays to the end
    gc.enable()
    return run_balancer()


if __name__ == "__main__":
    sys.exit(main())
