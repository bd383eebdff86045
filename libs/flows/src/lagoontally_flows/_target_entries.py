"""What changed entries of targets mean for their flows."""

from ._effects import FlowReset, entry_event, unused_entry_event


class TargetEntries:
    """Applies entries of targets to the view, and resets the flows of ended targets.

    Args:
        view: The ``View``.
        health: The ``Health``.
        flows: The ``FlowTable``.
        warm_ups: The ``WarmUps``.
        unknown_cookies: The ``UnknownCookies``.
        effects: List to which ``FlowReset``, ``Probe`` and ``LogEvent`` records are
            added.
    """

    def __init__(self, *, view, health, flows, warm_ups, unknown_cookies, effects):
        self.view = view
        self.health = health
        self.flows = flows
        self.warm_ups = warm_ups
        self.unknown_cookies = unknown_cookies
        self.effects = effects

    def on_listing(self, entries, now_ms, rules):
        """Handle a complete listing; see ``Balancer.on_listing``."""
        changes = self.view.changes_to(entries, rules)
        # The first listing is logged in one line, not one for each target.
        is_first = not self.view.generation
        for key, target in changes:
            self.on_entry(key, target, now_ms, logged=not is_first)
        return changes

    def on_entry(self, key, target, now_ms, *, logged=True):
        """Handle a changed entry.

        Args:
            key: Its key.
            target: The ``Target``, None if the entry is gone or names none.
            now_ms: Current time.
            logged: Whether to log it.
        """
        before = self.view.put(key, target, now_ms)
        if target is not None:
            self.unknown_cookies.forget(target.cookie)
        if before == target:
            return
        if target is not None and self.view.by_cookie.get(target.cookie) == target:
            self.warm_ups.on_entry(target, now_ms)
        for address in {one.address for one in (before, target) if one is not None}:
            self._update_ended(address)
        current = target or before
        replaced = before is not None and before.cookie != current.cookie
        if target is None or replaced:
            self._probe_delisted(before, now_ms)
        if logged:
            self._log(key, current, listed=target is not None)

    def on_services(self, services, now_ms):
        """Handle a configuration that names some services.

        Args:
            services: Their names.
            now_ms: Current time.
        """
        keys = self.view.set_services(services, now_ms)
        for address in {self.view.targets[key].address for key in keys}:
            self._update_ended(address)

    def reset_flows(self, cookie, evidence):
        """Forget the flows of a target and reset them."""
        for key, flow in self.flows.of_target(cookie):
            self.flows.remove(key)
            reset = FlowReset(key, flow.acknowledged, cookie, "target_" + evidence)
            self.effects.append(reset)

    def _update_ended(self, address):
        """Find the targets that ended before another one got their address."""
        cookies = self.view.owners.cookies_at(address)
        if len(cookies) < 2 and not self.health.ended:
            return
        ended = self.view.ended_at(address)
        known = self.health.ended
        for cookie in cookies:
            if cookie in ended and cookie not in known:
                known.add(cookie)
                self.reset_flows(cookie, "ended")
            elif cookie not in ended and cookie not in self.view.delisted:
                known.discard(cookie)

    def _log(self, key, target, *, listed):
        reason = self.view.unused_reason(key) if listed else None
        if reason is None:
            self.effects.append(entry_event(target, listed=listed))
        else:
            self.effects.append(unused_entry_event(target, key, reason))

    def _probe_delisted(self, target, now_ms):
        """Probe a target that is no longer listed and still has open flows."""
        if self.flows.open_flows.get(target.cookie):
            self.effects.extend(self.health.request_probe(target.cookie, now_ms))
