"""Blocking calls that a task can abandon before they return."""

from concurrent.futures import Future, wait
from threading import Thread

POLL_INTERVAL_S = 0.1


def call_until_stop(function, stop):
    """Call a function in a daemon thread and abandon it once ``stop`` is set.

    Args:
        function: Called without arguments; may block for long.
        stop: A ``threading.Event``.

    Returns:
        The function's result, or None once ``stop`` is set.

    Raises:
        Exception: The exception that the function raised.
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
