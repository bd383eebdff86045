"""Starts a balancer on an instance of the platform.

All modules are loaded from one file that the build writes. Searching folders for 40
modules takes a quarter of the import time and garbage collection another eighth, and
the balancer serves no packets until then.
"""

import gc
import sys
from _frozen_importlib import ModuleSpec  # ``importlib`` takes 2 ms more
from _signal import SIG_IGN, SIGHUP, signal
from marshal import loads

PROGRAM = "program.bin"


class ProgramFinder:
    """Imports modules from the program file.

    Args:
        modules: Pairs of whether it is a package and its code, by module name.
    """

    def __init__(self, modules):
        self.modules = modules

    def find_spec(self, name, _path=None, _target=None):
        """Return the spec of a module in the program file, None for any other."""
        if name not in self.modules:
            return None
        is_package, _ = self.modules[name]
        return ModuleSpec(name, self, is_package=is_package)

    def create_module(self, _spec):
        """Use the default module creation."""

    def exec_module(self, module):
        """Run a module's code."""
        _, code = self.modules[module.__name__]
        exec(code, module.__dict__)


def main():
    """Run the balancer and return its exit status."""
    signal(SIGHUP, SIG_IGN)  # the default action would end a loading process
    gc.disable()
    folder = __file__.rpartition("/")[0] or "."
    with open(f"{folder}/{PROGRAM}", "rb") as file:
        sys.meta_path.insert(0, ProgramFinder(loads(file.read())))

    from lagoontally_forwarder import main as run_balancer

    gc.freeze()  # objects created by the imports live until the process ends
    gc.enable()
    return run_balancer()


if __name__ == "__main__":
    sys.exit(main())
