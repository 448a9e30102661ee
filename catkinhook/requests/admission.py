"""Admission control by predicted latency, and priority of caller classes."""

from catkinhook.state.documents import CallerClass, Document

# A request is refused if its predicted latency exceeds this multiple of the target.
MAX_LATENCY_RATIO = 1.0
# Bounds on the correction factor, so that a few missed targets can't cause all requests to be
# refused.
CORRECTION_RANGE = (0.7, 1.6)
CORRECTION_SMOOTHING = 0.03
# Deferrable requests of the lowest priority are admitted while the latency on the endpoint stays
# below this share of the interactive targets.
DEFERRABLE_MAX_INTERACTIVE_RATIO = 0.5
LOWEST_PRIORITY = 9


def update_correction(correction: float, predicted: float, actual: float) -> float:
    """Return the correction factor for later predictions after one completed request.

    Later requests slow a running one down, which its prediction can't take into account.

    :param predicted: corrected prediction divided by the target.
    :param actual: measured latency divided by the target.
    """
    if predicted <= 0:
        return correction
    observed = correction * actual / predicted
    low, high = CORRECTION_RANGE
    return min(high, max(low, correction + CORRECTION_SMOOTHING * (observed - correction)))


def compute_urgency(
    caller_class: CallerClass, arrived: float, predicted: float, now: float
) -> float:
    """Return 1 for interactive requests, and the elapsed share of the deadline for deferrable ones.

    :param predicted: predicted seconds from start to finish; they count as elapsed.
    """
    if caller_class.priority == "interactive":
        return 1.0
    return min(1.0, max(0.0, (now - arrived + predicted) / caller_class.finish_within))


def engine_priority(urgency: float) -> int:
    """Return the priority for the engine, from 0 for the most urgent requests to 9."""
    return round((1.0 - urgency) * LOWEST_PRIORITY)


def is_admitted(urgency: float, ratio: float, interactive_ratio: float) -> bool:
    """Return whether a request is admitted, given the predictions for its best candidate.

    :param ratio: predicted latency divided by the target of the request.
    :param interactive_ratio: predicted latency divided by the tightest interactive target.
        Deferrable requests keep headroom for interactive ones until their own deadline approaches.
    """
    if urgency >= 1.0:
        return ratio <= MAX_LATENCY_RATIO
    return (
        ratio <= MAX_LATENCY_RATIO
        and interactive_ratio * (1.0 - urgency) <= DEFERRABLE_MAX_INTERACTIVE_RATIO
    )


def tightest_targets(document: Document) -> tuple[float, float]:
    """Return the shortest targets of interactive classes for first token and token interval.

    :returns: seconds, infinite if the service has no interactive class.
    """
    classes = [c for c in document.classes.values() if c.priority == "interactive"]
    first_token = min((c.first_token for c in classes), default=float("inf"))
    return first_token, min((c.between_tokens for c in classes), default=float("inf"))
