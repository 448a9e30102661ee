"""Dispatcher of a gateway: admission, endpoint selection, outcomes of attempts and retries."""

import random
import uuid

from result import Err, Ok, Result

from catkinhook.control.placementtypes import ModelDemand
from catkinhook.errors import Ran, Refusal
from catkinhook.requests import admission, endpointselection, limits, retries
from catkinhook.requests.demand import ItemDemand
from catkinhook.requests.dispatchtypes import Attempt, Choice, Request, RequestState
from catkinhook.requests.endpointindex import EndpointIndex
from catkinhook.requests.estimates import Estimates
from catkinhook.requests.outcomes import Outcome
from catkinhook.requests.prefixes import PrefixIndex
from catkinhook.requests.suspects import EventKind, Suspects, SuspectStatus, may_host_suspect
from catkinhook.state.documents import Document
from catkinhook.state.views import EndpointView, LoadReport, Snapshot

__all__ = ["Choice", "Dispatcher", "Outcome", "Request"]

STEP = "dispatch"
MAX_ATTEMPTS = 4
SUSPECT_RETRY_AFTER_S = 1.0
# Limits the endpoints that a crashing request can take down if several copies of it arrive before
# the first crash is detected.
MAX_ENDPOINTS_PER_FINGERPRINT = 2
_NO_TARGET = float("inf")


class Dispatcher:
    """Routing state of a gateway; used by one actor only, which passes the current time in.

    :param zone: availability zone of this gateway.
    :param origin: unique name of this instance and its incarnation, for suspect events.
    :ivar suspects: events about requests that may crash endpoints, exchanged between instances.
    """

    def __init__(self, zone: str, rng: random.Random, origin: str = "") -> None:
        self._zone = zone
        self._rng = rng
        self._snapshot: Snapshot | None = None
        self._limit_share = 1.0
        self._correction = 1.0
        self._index = EndpointIndex()
        self._attempt_by_id: dict[str, Attempt] = {}
        self._state_by_request_id: dict[str, RequestState] = {}
        self._load_by_endpoint: dict[str, endpointselection.EndpointLoad] = {}
        self._limit_by_service: dict[str, limits.ServiceLimit] = {}
        self._budget_by_service: dict[str, retries.RetryBudget] = {}
        self._demand_by_item: dict[str, ItemDemand] = {}
        self._targets_by_service: dict[str, tuple[Document, tuple[float, float]]] = {}
        self._running_by_fingerprint: dict[str, list[str]] = {}
        self._estimates = Estimates()
        self._prefixes = PrefixIndex()
        self._ejections = retries.Ejections()
        self.suspects = Suspects(origin or uuid.UUID(int=rng.getrandbits(128)).hex)

    def update(self, snapshot: Snapshot, now: float) -> None:
        """Replace the snapshot by a newer one."""
        previous = self._snapshot.endpoint_by_id if self._snapshot else {}
        self._snapshot = snapshot
        self._limit_share = limits.update_share(self._limit_share, snapshot.share, snapshot.current)
        self._index.update(snapshot.endpoint_by_id)
        self.suspects.set_confirmed(snapshot.quarantined, snapshot.suspected)
        for endpoint, view in snapshot.endpoint_by_id.items():
            previous_view = previous.get(endpoint)
            if previous_view is not None and previous_view.boot_id != view.boot_id:
                self._prefixes.remove(endpoint)
                self._ejections.reset(endpoint)
            if view.report is not None:
                self._load(endpoint).apply_report(view.report)
        self._remove_endpoints(set(previous) - set(snapshot.endpoint_by_id))

    def admit(self, request: Request, now: float) -> Result[None, Refusal]:
        """Admit or refuse a request; an admitted one must be released."""
        demand = self._demand_of(request)
        refusal = self._refuse_quarantined(request, now) or self._refuse_if_overloaded(request, now)
        refusal = refusal or self._refuse_over_limit(request, now)
        # Deferrable requests are retried after a refusal, so they are counted only when admitted.
        is_unmet = refusal is not None and refusal.code != "quarantined"
        if refusal is None or (is_unmet and request.caller_class.priority == "interactive"):
            demand.count_request(now)
        if is_unmet and request.caller_class.priority == "interactive":
            demand.count_unmet(now)
        if refusal is not None:
            return Err(refusal)
        demand.in_progress += 1
        self._state_by_request_id[request.request_id] = RequestState()
        self._budget(request).deposit(request.document.limits.retry_share)
        return Ok(None)

    def release(self, request: Request, met_targets: bool, now: float) -> None:
        """Release an admitted request.

        :param met_targets: whether it was answered within its latency targets.
        """
        if self._state_by_request_id.pop(request.request_id, None) is None:
            return
        self._limit(request).release()
        demand = self._demand_of(request)
        demand.in_progress = max(0, demand.in_progress - 1)

    def pick(
        self, request: Request, now: float, exclude: frozenset[str] = frozenset()
    ) -> Result[Choice, Refusal]:
        """Choose an endpoint for the next attempt.

        :param exclude: ids of the endpoints that earlier attempts used.
        """
        refusal = self._refuse_quarantined(request, now)
        if refusal is not None:
            return Err(self._set_ran(refusal, request))
        probe = self.suspects.status(request.fingerprint, now) is SuspectStatus.SUSPECT
        if probe:
            found = self._suspect_candidates(request, exclude, now)
        else:
            found = self._candidates(request, exclude, now, endpointselection.SAMPLE_SIZE)
        best = endpointselection.choose_best([self._predict(request, view, now) for view in found])
        if best is None:
            return Err(self._set_ran(self._no_endpoint_refusal(request, probe), request))
        view = next(view for view in found if view.endpoint == best.endpoint)
        return Ok(self._start_attempt(request, view, probe, best, now))

    def record_load(self, attempt_id: str, running: int, waiting: int, now: float) -> None:
        """Record the load that an endpoint reported in the headers of its answer."""
        attempt = self._attempt_by_id.get(attempt_id)
        if attempt is not None:
            load = self._load(attempt.endpoint.endpoint)
            speed = load.report.tokens_per_second if load.report else 0.0
            load.apply_report(LoadReport(running, waiting, speed, now))

    def record_first_token(self, attempt_id: str, now: float) -> None:
        """Record the arrival of the first token of an attempt."""
        attempt = self._attempt_by_id.get(attempt_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        self._prefixes.update_saving(
            attempt.hinted_share,
            self._estimates.first_token_seconds(
                attempt.endpoint.endpoint,
                attempt.request.model,
                attempt.request.prompt_tokens,
                attempt.load,
                now,
            ),
            now - attempt.started_at,
        )
        self._estimates.observe_first_token(
            attempt.endpoint.endpoint,
            attempt.request.model,
            attempt.uncached_tokens,
            attempt.load,
            now - attempt.started_at,
            now,
        )
        self._prefixes.record(attempt.endpoint.endpoint, attempt.request.prefixes, now)

    def finish(self, attempt_id: str, outcome: Outcome, tokens: int, now: float) -> None:
        """End an attempt.

        :param tokens: tokens of the answer.
        """
        attempt = self._attempt_by_id.pop(attempt_id, None)
        if attempt is None:
            return
        endpoint, request = attempt.endpoint.endpoint, attempt.request
        self._load(endpoint).finish(now)
        running = self._running_by_fingerprint[request.fingerprint]
        running.remove(endpoint)
        if not running:
            del self._running_by_fingerprint[request.fingerprint]
        state = self._state_by_request_id.get(request.request_id)
        if state is not None and outcome is Outcome.CANCELLED:
            # Nothing was sent, or the caller disconnected and there is no further attempt.
            state.attempts -= 1
        elif state is not None and outcome is not Outcome.NOT_RUN:
            state.may_have_run = True
        if outcome is Outcome.COMPLETED:
            self._record_completion(attempt, tokens, now)
        elif outcome is not Outcome.CANCELLED:
            # "Not run" may only mean that the endpoint is at capacity, so one such failure doesn't
            # eject it.
            self._ejections.record_failure(endpoint, outcome is Outcome.CRASHED, now)
        if outcome is Outcome.CRASHED:
            self._record_crash(attempt, now)
        elif attempt.probe and outcome is not Outcome.COMPLETED:
            self.suspects.record(EventKind.END, request.fingerprint, request.model, now, endpoint)

    def plan_retry(self, request: Request, outcome: Outcome, now: float) -> Result[float, Refusal]:
        """Return the backoff before the next attempt in seconds, or why no retry is allowed."""
        ran = Ran.NO if outcome is Outcome.NOT_RUN else Ran.UNKNOWN
        state = self._state_by_request_id.get(request.request_id)
        if state is not None and state.may_have_run:
            ran = Ran.UNKNOWN
        if state is None or outcome in (Outcome.COMPLETED, Outcome.CANCELLED):
            return _no_retry_refusal("the request has ended", ran)
        if not request.repeatable and ran is not Ran.NO:
            return _no_retry_refusal("the request may have run and must not be repeated", ran)
        if self.suspects.status(request.fingerprint, now) is SuspectStatus.QUARANTINED:
            return Err(_quarantine_refusal(ran))
        if state.crashes > 1:
            return _no_retry_refusal("the request was retried after a crash already", ran)
        if state.attempts >= MAX_ATTEMPTS:
            return _no_retry_refusal(f"{state.attempts} attempts failed", ran)
        if not self._budget(request).try_withdraw():
            return _no_retry_refusal("the retry budget of the service is used up", ran)
        state.retries += 1
        return Ok(retries.backoff(state.retries, self._rng))

    def demand(self, now: float) -> dict[str, ModelDemand]:
        """Return the demand by model and by ``model/adapter``, for the controller.

        The model of a suspect counts as unmet demand, because its retry needs a second copy.
        """
        suspected = set(self.suspects.suspected(now).values())
        summary = {}
        for item, demand in list(self._demand_by_item.items()):
            requests, unmet = demand.rates(now)
            if requests < 1e-4 and demand.in_progress == 0:
                del self._demand_by_item[item]
                continue
            summary[item] = ModelDemand(
                requests_per_second=requests,
                in_progress=demand.in_progress,
                unmet=unmet + (1.0 if item in suspected else 0.0),
            )
        return summary

    def _refuse_quarantined(self, request: Request, now: float) -> Refusal | None:
        if self.suspects.status(request.fingerprint, now) is SuspectStatus.QUARANTINED:
            return _quarantine_refusal(Ran.NO)
        return None

    def _refuse_if_overloaded(self, request: Request, now: float) -> Refusal | None:
        found = self._candidates(request, frozenset(), now, endpointselection.SAMPLE_SIZE)
        if not found:
            return self._no_endpoint_refusal(request, False)
        best = endpointselection.choose_best([self._predict(request, view, now) for view in found])
        urgency = admission.compute_urgency(
            request.caller_class, request.arrived, best.finish_s, now
        )
        if admission.is_admitted(urgency, best.ratio, best.interactive_ratio):
            return None
        found = self._candidates(request, frozenset(), now, endpointselection.MAX_CANDIDATES)
        best = endpointselection.choose_best([self._predict(request, view, now) for view in found])
        if admission.is_admitted(urgency, best.ratio, best.interactive_ratio):
            return None
        reason = (
            f"none of {len(found)} endpoints examined has room; the best is predicted to need "
            f"{best.ratio:.2f} times the promised time at {best.interactive_ratio:.0%} pressure"
        )
        return Refusal(STEP, "", reason, "overloaded", 503, Ran.NO, min(30.0, best.finish_s))

    def _refuse_over_limit(self, request: Request, now: float) -> Refusal | None:
        limit = request.document.limits
        is_admitted, name, retry_after_s = self._limit(request).acquire(
            limits.scale_limit(limit.concurrent_requests, self._limit_share),
            limits.scale_limit(limit.requests_per_second, self._limit_share),
            now,
        )
        if is_admitted:
            return None
        reason = f"service {request.document.service!r} is at its limit {name}"
        return Refusal(STEP, "", reason, "limit", 429, Ran.NO, retry_after_s)

    def _candidates(
        self, request: Request, exclude: frozenset[str], now: float, count: int
    ) -> list[EndpointView]:
        endpoints = self._find_endpoints(request)
        running = self._running_by_fingerprint.get(request.fingerprint, ())
        if len(set(running)) >= MAX_ENDPOINTS_PER_FINGERPRINT:
            endpoints = [endpoint for endpoint in endpoints if endpoint in running] or endpoints

        def is_ejected(endpoint: str) -> bool:
            return self._ejections.is_ejected(endpoint, now)

        found = endpointselection.sample(
            endpoints, count, lambda e: e not in exclude and not is_ejected(e), self._rng
        )
        if not found:
            allowed = [endpoint for endpoint in endpoints if endpoint not in exclude]
            found = retries.exclude_ejected(allowed, is_ejected, self._ejections.ejection_end)
        return [self._snapshot.endpoint_by_id[endpoint] for endpoint in found]

    def _suspect_candidates(
        self, request: Request, exclude: frozenset[str], now: float
    ) -> list[EndpointView]:
        if self.suspects.has_running_probe(request.fingerprint, now):
            return []
        probing = self.suspects.probing_endpoints(now)
        copies = self._index.count_copies(lambda e: not self._ejections.is_ejected(e, now))
        candidates = self._candidates(request, exclude, now, endpointselection.MAX_CANDIDATES)
        return [
            view
            for view in candidates
            if not self._ejections.is_ejected(view.endpoint, now)
            and may_host_suspect(view.models, copies, view.endpoint in probing)
        ]

    def _predict(
        self, request: Request, view: EndpointView, now: float
    ) -> endpointselection.Prediction:
        load = self._load(view.endpoint).current()
        uncached_tokens, _ = self._estimate_uncached_tokens(request, view, now)
        first_token_s = self._estimates.first_token_seconds(
            view.endpoint, request.model, uncached_tokens, load, now
        )
        token_interval_s = 0.0
        if request.output_tokens:
            token_interval_s = self._estimates.token_seconds(
                view.endpoint, request.model, load, now
            )
        finish_s = first_token_s + token_interval_s * max(0, request.output_tokens - 1)
        caller_class = request.caller_class
        tightest = self._tightest_targets(request.document)
        time_left = max(caller_class.finish_within - (now - request.arrived), 1e-3)
        if caller_class.priority == "interactive":
            targets = (caller_class.first_token, caller_class.between_tokens, _NO_TARGET)
        else:
            targets = (_NO_TARGET, _NO_TARGET, time_left)
        return endpointselection.Prediction(
            endpoint=view.endpoint,
            ratio=self._correction
            * endpointselection.latency_ratio(first_token_s, token_interval_s, finish_s, targets),
            finish_s=finish_s,
            interactive_ratio=self._correction
            * max(first_token_s / tightest[0], token_interval_s / tightest[1]),
            same_zone=view.zone == self._zone,
        )

    def _find_endpoints(self, request: Request) -> list[str]:
        return self._index.find(request.document.service, _get_item(request))

    def _tightest_targets(self, document: Document) -> tuple[float, float]:
        cached = self._targets_by_service.get(document.service)
        if cached is None or cached[0] is not document:
            cached = (document, admission.tightest_targets(document))
            self._targets_by_service[document.service] = cached
        return cached[1]

    def _estimate_uncached_tokens(
        self, request: Request, view: EndpointView, now: float
    ) -> tuple[float, float]:
        return self._prefixes.estimate_uncached_tokens(
            view.endpoint, request.prompt_tokens, request.prefixes, view.prefixes, now
        )

    def _start_attempt(
        self,
        request: Request,
        view: EndpointView,
        probe: bool,
        best: endpointselection.Prediction,
        now: float,
    ) -> Choice:
        load = self._load(view.endpoint)
        uncached_tokens, hinted_share = self._estimate_uncached_tokens(request, view, now)
        attempt = Attempt(
            request, view, now, load.current(), uncached_tokens, hinted_share, best.ratio, probe
        )
        attempt_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        self._attempt_by_id[attempt_id] = attempt
        load.start(now)
        self._running_by_fingerprint.setdefault(request.fingerprint, []).append(view.endpoint)
        if request.request_id in self._state_by_request_id:
            self._state_by_request_id[request.request_id].attempts += 1
        if probe:
            self.suspects.record(
                EventKind.PROBE, request.fingerprint, request.model, now, view.endpoint
            )
        urgency = admission.compute_urgency(
            request.caller_class, request.arrived, best.finish_s, now
        )
        return Choice(
            attempt_id=attempt_id,
            endpoint=view,
            priority=admission.engine_priority(urgency),
            probe=probe,
        )

    def _record_completion(self, attempt: Attempt, tokens: int, now: float) -> None:
        request, endpoint = attempt.request, attempt.endpoint.endpoint
        self._ejections.record_success(endpoint)
        if attempt.first_token_at is not None:
            load = (attempt.load + self._load(endpoint).current()) / 2
            seconds = now - attempt.first_token_at
            self._estimates.observe_tokens(endpoint, request.model, tokens, load, seconds, now)
            if request.caller_class.priority == "interactive":
                first_s = attempt.first_token_at - attempt.started_at
                first_ratio = first_s / request.caller_class.first_token
                interval_s = seconds / max(1, tokens - 1)
                interval_ratio = interval_s / request.caller_class.between_tokens
                self._correction = admission.update_correction(
                    self._correction, attempt.predicted_ratio, max(first_ratio, interval_ratio)
                )
        if self.suspects.status(request.fingerprint, now) is not SuspectStatus.HARMLESS:
            self.suspects.record(EventKind.CLEAR, request.fingerprint, request.model, now, endpoint)

    def _record_crash(self, attempt: Attempt, now: float) -> None:
        request, view = attempt.request, attempt.endpoint
        if request.request_id in self._state_by_request_id:
            self._state_by_request_id[request.request_id].crashes += 1
        self.suspects.record(
            EventKind.CRASH,
            request.fingerprint,
            request.model,
            now,
            view.endpoint,
            view.boot_id,
        )

    def _no_endpoint_refusal(self, request: Request, probe: bool) -> Refusal:
        if probe and self._find_endpoints(request):
            reason = "a request that may have crashed an endpoint waits for one it can run on alone"
            return Refusal(STEP, "", reason, "suspect-waits", 503, Ran.NO, SUSPECT_RETRY_AFTER_S)
        reason = f"no endpoint of service {request.document.service!r} can run the request"
        return Refusal(STEP, "", reason, "no-endpoint", 503, Ran.NO, 1.0)

    def _set_ran(self, refusal: Refusal, request: Request) -> Refusal:
        """Set ``ran`` in the refusal of a request that an earlier attempt may have run."""
        state = self._state_by_request_id.get(request.request_id)
        if state is not None and state.may_have_run:
            refusal.ran = Ran.UNKNOWN
        return refusal

    def _load(self, endpoint: str) -> endpointselection.EndpointLoad:
        return self._load_by_endpoint.setdefault(endpoint, endpointselection.EndpointLoad())

    def _limit(self, request: Request) -> limits.ServiceLimit:
        return self._limit_by_service.setdefault(request.document.service, limits.ServiceLimit())

    def _budget(self, request: Request) -> retries.RetryBudget:
        return self._budget_by_service.setdefault(request.document.service, retries.RetryBudget())

    def _demand_of(self, request: Request) -> ItemDemand:
        return self._demand_by_item.setdefault(_get_item(request), ItemDemand())

    def _remove_endpoints(self, removed: set[str]) -> None:
        if removed:
            self._estimates.remove(removed)
        for endpoint in removed:
            self._prefixes.remove(endpoint)
            self._ejections.reset(endpoint)
            if self._load(endpoint).own_requests == 0:
                del self._load_by_endpoint[endpoint]


def _get_item(request: Request) -> str:
    return f"{request.model}/{request.adapter}" if request.adapter else request.model


def _no_retry_refusal(reason: str, ran: Ran) -> Err[Refusal]:
    return Err(Refusal(STEP, "", reason, "no-retry", 503, ran))


def _quarantine_refusal(ran: Ran) -> Refusal:
    reason = "the request crashed endpoints repeatedly and is quarantined"
    return Refusal(STEP, "", reason, "quarantined", 422, ran)
