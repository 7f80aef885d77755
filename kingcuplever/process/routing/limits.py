"""Limits on requests and on retries: token buckets.

An account's limit holds over all entries without a shared store: each entry
gives out an equal share.  A caller who uses one entry alone therefore gets
only that share; the sum never passes the limit by more than the bursts.
Pure: time is passed in.
"""

from typing import Final

from kingcuplever.version import configuration

# Retries are at most this share of the requests of late.
RETRY_RATIO: Final = 0.1
_RETRY_BURST: Final = 10.0


class TokenBucket:
    """Tokens that come back at a steady rate."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        """Start full."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def take_token(self, now: float) -> float:
        """Take a token.

        :return: 0 if there was one, else the seconds until there is.
        """
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        more = self._tokens + elapsed_s * self.rate_per_s
        self._tokens = min(self.burst, more)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        if not self.rate_per_s:
            return 60.0
        return (1 - self._tokens) / self.rate_per_s


class AccountRateLimits:
    """One entry's share of each account's limit."""

    def __init__(self, entries: int) -> None:
        """Share each limit with so many entries."""
        self._entries = entries
        self._limits: dict[str, configuration.AccountLimit] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def set_config(self, config: configuration.Configuration) -> None:
        """Use new limits; buckets of unchanged ones go on."""
        for account, limit in config.limits.items():
            if self._limits.get(account) != limit:
                self._buckets.pop(account, None)
        self._limits = dict(config.limits)

    def take_token(self, account: str, now: float) -> float:
        """Give 0 if a request may pass, else the seconds to wait."""
        limit = self._limits.get(account)
        if limit is None:
            return 0.0
        if account not in self._buckets:
            rate = limit.requests_per_s / self._entries
            burst = max(1.0, limit.burst / self._entries)
            self._buckets[account] = TokenBucket(rate, burst, now)
        return self._buckets[account].take_token(now)


class RetryBudget:
    """Retries as a share of the requests."""

    def __init__(self) -> None:
        """Start with a small allowance."""
        self._tokens = _RETRY_BURST

    def record_request(self) -> None:
        """Note a request."""
        self._tokens = min(_RETRY_BURST, self._tokens + RETRY_RATIO)

    def try_take_retry(self) -> bool:
        """Take a retry; tell whether there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
