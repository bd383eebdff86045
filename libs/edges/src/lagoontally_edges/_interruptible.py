"""Blocking calls that a task may leave before they end."""

from concurrent.futures import Future, wait
from threading import Thread

POLL_INTERVAL_S = 0.1


def call_until_stop(function, stop):
    """Call a function that may block for long, and leave it when told to stop.

    Args:
        function: Called without arguments in a thread that doesn't keep the
            process alive.
        stop: A ``threading.Event``.

    Returns:
        What the function returned, or None once ``stop`` is set.

    Raises:
        Exception: What the function raised.
    """
    future = Future()
    Thread(target=_complete, args=(future, function), daemon=True).start()
    while not stop.is_set():
        done, _ = wait([future], timeout=POLL_INTERVAL_S)
        if done:
            return future.result()
    return None


def _complete(future, function):
    try:
        future.set_result(function())
    except BaseException as error:
        future.set_exception(error)
