"""The entry point: reads the settings and runs the process."""

from posix import environ  # importing ``os`` takes 1 ms

from lagoontally_platform import SETTINGS_VARIABLE

from ._process import Process
from ._settings import InvalidSettings, parse_settings

EXIT_INVALID_SETTINGS = 2


def main():
    """Run a balancer with the settings file that the environment names.

    Returns:
        The exit status.
    """
    path = environ.get(SETTINGS_VARIABLE.encode(), b"").decode()
    if not path:
        print(f"{SETTINGS_VARIABLE} is not set", flush=True)
        return EXIT_INVALID_SETTINGS
    try:
        with open(path) as file:
            settings = parse_settings(file.read())
    except OSError as error:
        settings = InvalidSettings([str(error)])
    if isinstance(settings, InvalidSettings):
        print("{}: {}".format(path, "; ".join(settings.findings)), flush=True)
        return EXIT_INVALID_SETTINGS
    return Process(settings, path).run()
