"""Rate limits of client accounts, and the retry budget: token buckets.

The entries enforce an account's limit without a shared store: each one grants
an equal share of it.  A caller that uses a single entry therefore gets only
that share; the sum over all entries exceeds the limit by the bursts at most.
No I/O: time is passed in.
"""

from typing import Final

from kingcuplever.version import configuration

# Retries per request that the budget gains.
RETRY_RATIO: Final = 0.1
_RETRY_BURST: Final = 10.0


class TokenBucket:
    """A token bucket that is refilled at a constant rate."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        """Create a full bucket."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._refilled_at = now

    def take_token(self, now: float) -> float:
        """Take a token if there is one.

        :return: 0 if a token was taken, else the seconds until the next one.
        """
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        refilled = self._tokens + elapsed_s * self.rate_per_s
        self._tokens = min(self.burst, refilled)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        if not self.rate_per_s:
            return 60.0
        return (1 - self._tokens) / self.rate_per_s


class AccountRateLimits:
    """One entry's share of each client account's rate limit."""

    def __init__(self, entries: int) -> None:
        """Start without limits.

        :param entries: number of entries that share each limit equally.
        """
        self._entries = entries
        self._limits: dict[str, configuration.AccountLimit] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def set_config(self, config: configuration.Configuration) -> None:
        """Replace the limits; an unchanged limit keeps its bucket."""
        for account, limit in config.limits.items():
            if self._limits.get(account) != limit:
                self._buckets.pop(account, None)
        self._limits = dict(config.limits)

    def take_token(self, account: str, now: float) -> float:
        """Take a token from the account's bucket if there is one.

        :return: 0 if the request is admitted, else the seconds to wait.
        """
        limit = self._limits.get(account)
        if limit is None:
            return 0.0
        if account not in self._buckets:
            rate = limit.requests_per_s / self._entries
            burst = max(1.0, limit.burst / self._entries)
            self._buckets[account] = TokenBucket(rate, burst, now)
        return self._buckets[account].take_token(now)


class RetryBudget:
    """Limits retries to a fraction of the requests."""

    def __init__(self) -> None:
        """Start with a full budget."""
        self._tokens = _RETRY_BURST

    def record_request(self) -> None:
        """Add a request's share to the budget."""
        self._tokens = min(_RETRY_BURST, self._tokens + RETRY_RATIO)

    def try_take_retry(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
