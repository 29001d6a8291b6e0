"""One gateway's turns: events go to the decisions in `gateway.policy`, and their actions come out."""

from __future__ import annotations

from gateway.gossip.codec import REPLIES, QuotaEntry, decode, encode
from gateway.interface import events
from gateway.interface.actions import Action, SendGossip, SetTimer, SubscribeEndpoints
from gateway.interface.settings import Settings
from gateway.policy.context import PolicyContext
from gateway.policy.dispatch.fuzzy_share import PERIOD_MS
from gateway.policy.dispatch.latency import is_stall
from gateway.policy.endpoints.endpoint_record import EndpointRecord
from gateway.policy.gossip.pace import GossipPace
from gateway.policy.quota.leader_bucket import LeaseKey
from gateway.policy.requests.request_flow import RequestFlow
from gateway.policy.timers import REQUEST_TIMERS, Timer, TimerKind

CLEANUP_INTERVAL_MS = 1000.0  # interval at which unused accounts, buckets and timers are dropped
WAKE_UP_TIMER = "agenda"  # name of the only timer that is requested; recorded days contain it


class Controller:
    """One gateway's decisions. The same events at the same times give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Begin with nothing known; all random numbers follow from the seed."""
        self.settings = settings
        self.errors: list[Exception] = []  # raised by events of the last turn
        self.context = PolicyContext(settings, seed)
        self.flow = RequestFlow(self.context, self._send_entry)
        self.pace = GossipPace(self.context)
        self.selector = self.flow.attempts.selector
        self.directory = self.flow.attempts.selector.directory
        self._tidy_at_ms = 0.0

    def handle(self, now_ms: float, happened: list[events.Event]) -> list[Action]:
        """Take in what happened and return what to do.

        An event that raises changes nothing of the others; its error is kept in `errors` until the next turn.
        """
        self._begin_turn(now_ms)
        withdrawn: list[EndpointRecord] = []
        for event in happened:
            try:
                self._on_event(event, withdrawn)
            except Exception as error:  # the turn's other events are owed their answers; the caller logs it
                self.errors.append(error)
        self._on_withdrawn(withdrawn)
        while timer := self.context.timers.pop_expired(now_ms):
            self._on_timer(timer)
        self.flow.dispatcher.dispatch()
        self._send_gossip()
        self._ask_for_wake_up()
        return self.context.turn.actions

    def endpoint_counts(self, now_ms: float) -> tuple[int, int]:
        """Return how many endpoints are listed, and how many of these are avoided, for operators."""
        self.context.turn.now_ms = now_ms
        listed = self.directory.table.listed()
        return len(listed), sum(self.selector.avoids(endpoint) for endpoint in listed)

    def _begin_turn(self, now_ms: float) -> None:
        turn = self.context.turn
        timers = self.context.timers
        is_first = turn.began_at_ms is None
        turn.begin(now_ms, is_stall=is_stall(turn.began_at_ms, now_ms))
        timers.on_turn(now_ms)
        self.errors = []
        if is_first:
            self.context.role.started_at_ms = now_ms
            timers.schedule(now_ms, TimerKind.PERIOD)
            timers.schedule(now_ms, TimerKind.SUBSCRIBE)

    # -- events

    def _on_event(self, event: events.Event, withdrawn: list[EndpointRecord]) -> None:
        """Take in one event; the endpoints that stop being ready by it are added to the withdrawn ones."""
        flow = self.flow
        match event:
            case events.AttemptEnded():
                flow.on_attempt_ended(event)
            case events.RequestArrived():
                flow.on_arrival(event)
            case events.ResponseStarted() if event.id in flow.open and flow.open[event.id].attempts:
                flow.on_response_started(flow.open[event.id], event)
            case events.BodyReleased() if event.id in flow.open:
                flow.open[event.id].body_released = True
            case events.RequestCompleted() if event.id in flow.open:
                flow.on_completed(flow.open[event.id], event)
            case events.ClientDisconnected() if event.id in flow.open:
                flow.close(flow.open[event.id])
            case events.GossipReceived():
                self._on_gossip(event)
            case events.EndpointUpdate() if event.failed:
                self.directory.on_update_failed()
            case events.EndpointUpdate():
                withdrawn += self.directory.update(event)
                flow.attempts.limiter.update_limit(self.directory.capacity)

    def _on_withdrawn(self, withdrawn: list[EndpointRecord]) -> None:
        """Endpoints have just stopped being ready; what is in flight there may be lost."""
        if withdrawn and self.settings.may_hedge:
            self.flow.attempts.hedge_withdrawn(list(self.flow.open.values()), withdrawn)

    def _on_gossip(self, event: events.GossipReceived) -> None:
        """Take in a datagram; bytes that can't be read and unknown senders change nothing."""
        message = decode(event.data)
        is_own = event.sender == self.settings.number and not self.context.role.has_sibling
        if message is None or event.sender >= self.settings.gateways or is_own:
            return
        self.pace.on_received(event.sender)
        self.flow.attempts.limiter.on_peer_target(message.target_concurrency)
        if not self.context.turn.stalled:  # else they are as old as the stall is long
            self.selector.on_observations(message.observations)
        self.flow.lease_client.on_gossip(event.sender)
        for entry in message.entries:
            self._on_entry(event.sender, message.incarnation, entry)

    # -- the way of quota entries

    def _send_entry(self, gateway: int, entry: QuotaEntry, incarnation: int | None = None) -> None:
        """Send an entry to a gateway, or to the process of this one that has the incarnation."""
        role = self.context.role
        is_own = gateway == self.settings.number and not role.is_retired
        if is_own and incarnation in (None, role.incarnation):
            self._on_entry(gateway, role.incarnation, entry)
        elif self.settings.may_gossip:
            self.pace.outbox.add(gateway, entry)

    def _on_entry(self, sender: int, incarnation: int, entry: QuotaEntry) -> None:
        """Take in an entry; one of a class or a plan that the settings don't have changes nothing."""
        if entry.kind in REPLIES:
            self.flow.lease_client.on_reply(sender, entry)
            return
        is_known = entry.plan_index < len(self.settings.plans) and entry.class_index < len(
            self.settings.classes
        )
        if is_known and not self.context.role.is_retired:
            self.flow.leader.on_entry(LeaseKey(sender, incarnation, entry.lease_id), entry)

    # -- timers

    def _on_timer(self, timer: Timer) -> None:
        if timer.kind in REQUEST_TIMERS:
            request = self.flow.open.get(timer.subject)
            if request is not None and not request.is_streaming:
                self.flow.on_timer(timer.kind, request)
            return
        match timer.kind:
            case TimerKind.PERIOD:
                self._step()
            case TimerKind.LEADER_SERVE:
                self.flow.leader.on_timer(timer.subject)
            case TimerKind.SUBSCRIBE if self.settings.must_subscribe:
                self.context.turn.actions.append(SubscribeEndpoints())

    def _step(self) -> None:
        """Go on by one period."""
        now_ms = self.context.turn.now_ms
        self.context.timers.schedule(now_ms + PERIOD_MS, TimerKind.PERIOD)
        self.flow.dispatcher.step()
        self.pace.step()
        self.selector.step()
        if now_ms >= self._tidy_at_ms:
            self._tidy_at_ms = now_ms + CLEANUP_INTERVAL_MS
            self._tidy()
        self.flow.attempts.limiter.step(self.directory.capacity)

    def _tidy(self) -> None:
        """Forget what is over."""
        self.flow.lease_client.accounts.forget(self.flow.open.values())
        self.flow.leader.forget()
        self.context.timers.compact(self.flow.open)

    # -- what a turn ends with

    def _send_gossip(self) -> None:
        messages = self.pace.take()
        if not messages:
            return
        observations = self.selector.outliers.fresh_observations()
        for gateway, entries in messages:
            data = encode(
                self.context.role.incarnation, self.flow.attempts.limiter.target, entries, observations
            )
            self.context.turn.actions.append(SendGossip(gateway, data))

    def _ask_for_wake_up(self) -> None:
        turn = self.context.turn
        after_ms = self.context.timers.wake_up_in_ms(turn.now_ms, self.flow.open)
        if after_ms is not None:
            turn.actions.append(SetTimer(after_ms, WAKE_UP_TIMER))
