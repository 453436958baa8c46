"""Decisions about requests: outcomes, routes, retries and remembered answers."""

from comfreywharf.routing.arrivals import may_have_reached_backend
from comfreywharf.routing.budget import BurstTerms, Retry, RetryBudget, RetryBudgets
from comfreywharf.routing.memory import (
    Answer,
    AnswerMemory,
    BeginResult,
    BeginStatus,
    KeptAnswer,
    MemoryLimits,
    RequestKey,
    resend_fingerprint,
)
from comfreywharf.routing.outcomes import SAFE_METHODS, Outcome, Reason, verdict_of
from comfreywharf.routing.recovery_times import RecoveryTimes
from comfreywharf.routing.route import (
    GiveUp,
    Hold,
    HoldBounds,
    Ownership,
    RouteLimits,
    RouteProgress,
    Send,
    after_hold,
    decide_route,
)

__all__ = [
    "SAFE_METHODS",
    "Answer",
    "AnswerMemory",
    "BeginResult",
    "BeginStatus",
    "BurstTerms",
    "GiveUp",
    "Hold",
    "HoldBounds",
    "KeptAnswer",
    "MemoryLimits",
    "Outcome",
    "Ownership",
    "Reason",
    "RecoveryTimes",
    "RequestKey",
    "Retry",
    "RetryBudget",
    "RetryBudgets",
    "RouteLimits",
    "RouteProgress",
    "Send",
    "after_hold",
    "decide_route",
    "may_have_reached_backend",
    "resend_fingerprint",
    "verdict_of",
]
