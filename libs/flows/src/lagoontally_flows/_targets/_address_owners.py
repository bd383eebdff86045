"""Targets that have ended, since another target has their address.

An address is given to another target only after its target has ended. Only a listed
target proves that: once its entry is gone, an earlier one that is still listed counts
as alive again.
"""


class AddressOwners:
    """The targets at each address, in the order in which they were listed."""

    def __init__(self):
        self._owners = {}

    def add(self, target):
        """Add a target that was listed, or replace what was known of it."""
        self._owners.setdefault(target.address, {})[target.cookie] = target

    def remove(self, target):
        """Remove a target; its address may belong to others."""
        owners = self._owners.get(target.address, {})
        owners.pop(target.cookie, None)
        if not owners:
            self._owners.pop(target.address, None)

    def cookies_at(self, address):
        """Return the cookies of all targets at an address."""
        return list(self._owners.get(address, ()))

    def ended_at(self, address, delisted):
        """Return the cookies of targets that another one at their address proves ended.

        Args:
            address: The address.
            delisted: Cookies of targets that aren't listed and prove nothing.
        """
        owners = list(enumerate(self._owners.get(address, {}).values()))
        return {
            target.cookie
            for index, target in owners
            if any(
                (later.born, position) > (target.born, index)
                for position, later in owners
                if later.cookie not in delisted
            )
        }
