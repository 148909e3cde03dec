//! Hedged requests: a second send of a request whose answer takes longer than that of most others.
//!
//! Load pattern: a few answers in a hundred take several times as long as the rest, for reasons
//! that placement cannot see. The second leg is a request of its own within this instance, with a
//! number derived from that of the first leg, so that it gets its reservation from the owner, its
//! place in digests and its report of the end like any other. It never reaches the caller's side:
//! what ends a request that has no other leg only ends the leg here.

use std::time;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::Outcome;
use crate::core::fleet::Step;
use crate::core::fleet::budget;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::outcomes;
use crate::core::fleet::refusal;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

pub mod share;
pub mod times;

/// The bit that distinguishes the number of a second leg from that of its request. Requests are
/// numbered from 0.
const SECOND_LEG: call::RequestNumber = 1 << 63;

/// The lowest and the highest quantile after which a hedge is sent.
const QUANTILES: (f64, f64) = (0.9, 0.99);

/// The largest part of the allowed retries that hedges may take, so that failures can still be
/// retried.
const MAX_RETRY_BUDGET_SHARE: f64 = 0.5;

/// The share of a service's slots that must be free for a hedge.
const MIN_FREE_SLOTS: f64 = 0.2;

/// The time after the start of an instance in which it sends no hedge, as it does not know the load
/// of the servers yet.
const START_PERIOD: time::Duration = time::Duration::from_secs(1);

/// The most servers that a reservation of a second leg names as not wanted, so that the request for
/// it fits into a datagram.
const MAX_EXCLUDED_SERVERS: usize = 32;

/// Returns the number of the second leg of a request.
pub fn second_leg(request: call::RequestNumber) -> call::RequestNumber {
    request | SECOND_LEG
}

/// Returns whether a number is that of a second leg.
pub fn is_second_leg(number: call::RequestNumber) -> bool {
    number & SECOND_LEG != 0
}

/// Returns the number of the request that a leg belongs to.
pub fn first_leg(number: call::RequestNumber) -> call::RequestNumber {
    number & !SECOND_LEG
}

/// Why a hedge was not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// Too few recent times of the service and kind are known.
    TooFewTimes,
    /// The instance has started too recently.
    Starting,
    /// This instance's part of the operators' share is used up.
    ShareUsedUp,
    /// The budget of retries is used up.
    RetriesUsedUp,
    /// The service is short of room.
    ShortOfRoom,
    /// No other server is less loaded, or none has capacity.
    NoServer,
    /// The owner of the service has not granted a reservation in time.
    OwnerUnresponsive,
    /// The request may crash servers.
    Suspect,
    /// The deadline is too near.
    Deadline,
    /// The first leg has ended before a server was reserved.
    FirstEnded,
}

impl Obstacle {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooFewTimes => "too_few_times",
            Self::Starting => "starting",
            Self::ShareUsedUp => "share_used_up",
            Self::RetriesUsedUp => "retries_used_up",
            Self::ShortOfRoom => "short_of_room",
            Self::NoServer => "no_server",
            Self::OwnerUnresponsive => "owner_unresponsive",
            Self::Suspect => "suspect",
            Self::Deadline => "deadline",
            Self::FirstEnded => "first_ended",
        }
    }
}

/// How a hedge has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HedgeEnd {
    /// The second leg was answered first.
    Won,
    /// The first leg was answered first.
    Lost,
    /// The second leg has failed.
    Failed,
    /// The first leg has failed, and the second one goes on.
    FirstFailed,
    /// The request has ended without an answer.
    Abandoned,
}

impl HedgeEnd {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::FirstFailed => "first_failed",
            Self::Abandoned => "abandoned",
        }
    }

    /// Returns whether a leg was cancelled.
    pub fn is_cancellation(self) -> bool {
        matches!(self, Self::Won | Self::Lost | Self::Abandoned)
    }
}

/// What hedges of this instance depend on: the operators' share and the recent times.
#[derive(Debug)]
pub struct Hedging {
    /// The share of a service's requests that may be hedged; 0 turns hedging off.
    share: f64,
    buckets: collections::Map<catalog::ServiceId, share::Bucket>,
    /// The recent times by service, of whole answers and of first events.
    answer_times: collections::Map<catalog::ServiceId, times::RecentTimes>,
    event_times: collections::Map<catalog::ServiceId, times::RecentTimes>,
}

impl Hedging {
    /// Creates the state for a share, which is bounded to a part of the allowed retries.
    pub fn new(share: f64, retries: &budget::RetryBounds) -> Self {
        Self {
            share: share.min(retries.ratio * MAX_RETRY_BUDGET_SHARE).max(0.0),
            buckets: collections::Map::default(),
            answer_times: collections::Map::default(),
            event_times: collections::Map::default(),
        }
    }

    /// Returns whether hedges are sent at all.
    pub fn is_on(&self) -> bool {
        self.share > 0.0
    }

    fn quantile(&self) -> f64 {
        (1.0 - self.share).clamp(QUANTILES.0, QUANTILES.1)
    }

    /// Counts a request to a service, which earns a share of a hedge.
    pub fn record_request(&mut self, service: &catalog::ServiceId) {
        if self.is_on() {
            let share = self.share;
            self.bucket(service).earn(share);
        }
    }

    fn times(&mut self, service: &catalog::ServiceId, is_stream: bool) -> &mut times::RecentTimes {
        let times = if is_stream { &mut self.event_times } else { &mut self.answer_times };
        times.entry(service.clone()).or_default()
    }

    fn basis(&mut self, live: &live::LiveRequest, now: ids::Timestamp) -> Option<times::Basis> {
        let quantile = self.quantile();
        self.times(&live.claim.service, live.route.is_stream).quantile(quantile, now)
    }

    /// Returns the time after which a hedge of a request that is sent now is due; `None` if the
    /// request must not be hedged.
    ///
    /// # Errors
    ///
    /// Returns the obstacle if the time is not known.
    pub fn delay(
        &mut self,
        live: &live::LiveRequest,
        step: &Step,
        now: ids::Timestamp,
    ) -> Result<Option<time::Duration>, Obstacle> {
        if !self.is_on() || !is_eligible(live, step) {
            return Ok(None);
        }
        let basis = self.basis(live, now).ok_or(Obstacle::TooFewTimes)?;
        Ok(Some(basis.delay))
    }

    fn bucket(&mut self, service: &catalog::ServiceId) -> &mut share::Bucket {
        self.buckets.entry(service.clone()).or_default()
    }

    fn hedges_left(&self, service: &catalog::ServiceId) -> f64 {
        self.buckets.get(service).map_or(0.0, share::Bucket::hedges)
    }
}

/// Returns whether a request that was just sent may be hedged. A prefill costs about as much as a
/// second answer is worth, so requests to engines are not.
fn is_eligible(live: &live::LiveRequest, step: &Step) -> bool {
    live.is_idempotent()
        && live.claim.engine.is_none()
        && *step == Step::Run
        && live.hedge.is_none()
        && live.claim.binding == claim::Binding::Any
        && live.run_attempts < live.route.attempts
}

impl Fleet {
    /// Sends a request that is still without an answer to a second server, if nothing speaks
    /// against it.
    pub(super) fn hedge(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AtServer(at) = live.phase.clone() else { return };
        if at.is_started() || !is_eligible(live, &at.step) {
            return;
        }
        let live = live.clone();
        let (basis, claim) = match self.plan_hedge(&live, &at, now) {
            Ok(planned) => planned,
            Err(obstacle) => return log_obstacle(&live, obstacle, effects),
        };
        if !self.pay_for_repeats(request, 1, now) {
            return log_obstacle(&live, Obstacle::RetriesUsedUp, effects);
        }
        self.hedging.bucket(&claim.service).spend();
        let hedge = live::Hedge { basis, is_open: true, is_promoted: false };
        let second = second_leg(request);
        let Some(first) = self.requests.get_mut(&request) else { return };
        first.hedge = Some(Box::new(hedge));
        let leg = live::LiveRequest {
            claim,
            charge: 0.0,
            phase: live::Phase::Waiting,
            grant: None,
            // What was paid just now pays for the second leg.
            prepaid_repeats: std::mem::take(&mut first.prepaid_repeats),
            hedge: first.hedge.clone(),
            ..live
        };
        self.requests.insert(second, leg);
        if !self.request_reservation(second, now, effects) && !self.try_place(second, now, effects)
        {
            self.drop_second_leg(second, Obstacle::NoServer, effects);
        }
    }

    /// Returns what a hedge rests on and the claim of its second leg.
    fn plan_hedge(
        &mut self,
        live: &live::LiveRequest,
        at: &live::AtServer,
        now: ids::Timestamp,
    ) -> Result<(times::Basis, claim::Claim), Obstacle> {
        let basis = self.hedging.basis(live, now).ok_or(Obstacle::TooFewTimes)?;
        if now < START_PERIOD {
            return Err(Obstacle::Starting);
        }
        if live.expires <= now + outcomes::MIN_RETRY_TIME {
            return Err(Obstacle::Deadline);
        }
        if self.may_crash_servers(live, at, now) {
            return Err(Obstacle::Suspect);
        }
        if !self.hedging.bucket(&live.claim.service).has_hedge() {
            return Err(Obstacle::ShareUsedUp);
        }
        if self.is_short_of_room(&live.claim.service, now) {
            return Err(Obstacle::ShortOfRoom);
        }
        let claim = self.second_claim(live, at, now).ok_or(Obstacle::NoServer)?;
        Ok((basis, claim))
    }

    /// Returns whether a service lacks the room for requests that are not needed: it is in overload,
    /// others wait, its servers name limits, or few slots are free.
    fn is_short_of_room(&self, service: &catalog::ServiceId, now: ids::Timestamp) -> bool {
        let is_queued = |live: &live::LiveRequest| match &live.phase {
            live::Phase::Waiting => true,
            live::Phase::AwaitingGrant(awaiting) => awaiting.last_confirmed.is_some(),
            _ => false,
        };
        let mut local = self.requests.values().filter(|live| live.claim.service == *service);
        let mut remote = self.claims.values().map(|remote| &remote.claim);
        if self.overloads.contains(service)
            || local.any(is_queued)
            || remote.any(|claim| claim.service == *service)
            || self.limit_view(service, now).is_some()
        {
            return true;
        }
        let (mut slots, mut taken) = (0, 0);
        for server in self.servers.of_service(service).filter(|server| server.is_usable(now)) {
            slots += server.entry.slots;
            taken += server.load().requests.min(server.entry.slots);
        }
        f64::from(slots - taken) < f64::from(slots) * MIN_FREE_SLOTS
    }

    /// Returns the claim of a second leg: at another server that is less loaded, and in another
    /// failure domain if one has such a server.
    fn second_claim(
        &self,
        live: &live::LiveRequest,
        at: &live::AtServer,
        now: ids::Timestamp,
    ) -> Option<claim::Claim> {
        let first = self.servers.get(&at.server)?;
        let load = |server: &servers::Server| {
            f64::from(server.load().requests) / f64::from(server.entry.slots.max(1))
        };
        let first_load = load(first);
        let is_target = |server: &servers::Server| {
            server.entry.id != at.server
                && server.is_usable(now)
                && server.is_willing(now)
                && !live.claim.tried.contains(&server.entry.id)
                && load(server) < first_load
        };
        let servers = || self.servers.of_service(&live.claim.service);
        let is_elsewhere = |server: &servers::Server| server.entry.domain != first.entry.domain;
        let needs_elsewhere = servers().any(|server| is_target(server) && is_elsewhere(server));
        let is_wanted = |server: &servers::Server| {
            is_target(server) && (is_elsewhere(server) || !needs_elsewhere)
        };
        let best = servers().filter(|server| is_wanted(server));
        let best = best.min_by(|one, other| load(one).total_cmp(&load(other)))?;
        let mut claim = live.claim.clone();
        let unwanted = servers().filter(|server| !is_wanted(server));
        let mut unwanted: Vec<_> = unwanted.map(|server| server.entry.id.clone()).collect();
        if unwanted.len() <= MAX_EXCLUDED_SERVERS {
            unwanted.sort_unstable();
            unwanted.retain(|server| *server != at.server && !claim.tried.contains(server));
        } else {
            // Servers that are nearer to the claim are preferred.
            claim.domain.clone_from(&best.entry.domain);
            unwanted.clear();
        }
        claim.tried.push(at.server.clone());
        claim.tried.extend(unwanted);
        Some(claim)
    }

    /// Notes that a second leg is sent, for its request and in a log line.
    pub(super) fn note_second_sent(
        &mut self,
        second: call::RequestNumber,
        server: &ids::ServerId,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&first_leg(second)) else { return };
        live.arrivals += 1;
        live.run_attempts += 1;
        let (Some(hedge), live::Phase::AtServer(at)) = (&live.hedge, &live.phase) else { return };
        let basis = hedge.basis;
        effects.push(Effect::Log(decision::Decision::HedgeSent {
            request: fleet::text(&live.call.id),
            service: live.claim.service.to_string(),
            first_server: fleet::text(&at.server),
            server: fleet::text(server),
            elapsed_ms: waiting::millis(now.saturating_sub(at.sent)),
            delay_ms: waiting::millis(basis.delay),
            quantile: basis.quantile,
            sample: basis.sample,
            age_ms: waiting::millis(basis.age),
            hedges_left: self.hedging.hedges_left(&live.claim.service),
        }));
    }

    /// Returns the number under which the state of a leg is kept: that of the request, once the
    /// first leg has ended.
    pub(super) fn leg_number(&self, number: call::RequestNumber) -> call::RequestNumber {
        let is_promoted = is_second_leg(number)
            && self.requests.get(&first_leg(number)).is_some_and(live::LiveRequest::is_promoted);
        if is_promoted { first_leg(number) } else { number }
    }

    /// Returns the other leg of a request that has two.
    fn other_leg(&self, number: call::RequestNumber) -> Option<call::RequestNumber> {
        let live = self.requests.get(&number)?;
        let is_open = live.hedge.as_ref().is_some_and(|hedge| hedge.is_open);
        is_open.then_some(number ^ SECOND_LEG)
    }

    /// Applies the progress or the end of a leg. The first answer wins; a failure ends the leg
    /// only, while the other one is at a server.
    pub(super) fn progress_leg(
        &mut self,
        number: call::RequestNumber,
        outcome: Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let number = self.leg_number(number);
        self.record_time(number, &outcome, now);
        let request = first_leg(number);
        match self.other_leg(number) {
            None if is_second_leg(number) => {}
            None => self.progress(number, outcome, now, effects),
            Some(other) => {
                let is_answer = matches!(
                    outcome,
                    Outcome::Started
                        | Outcome::Continued
                        | Outcome::PositionLost
                        | Outcome::Finished { .. }
                );
                if is_answer {
                    self.cancel_other(other, now, effects);
                    self.progress(request, outcome, now, effects);
                } else if is_second_leg(number) {
                    self.fail_second_leg(number, &outcome, now, effects);
                } else {
                    self.fail_first_leg(number, outcome, now, effects);
                }
            }
        }
    }

    /// Learns the time that a first leg has taken.
    fn record_time(&mut self, number: call::RequestNumber, outcome: &Outcome, now: ids::Timestamp) {
        if !self.hedging.is_on() || is_second_leg(number) {
            return;
        }
        let Some(live) = self.requests.get(&number) else { return };
        let live::Phase::AtServer(at) = &live.phase else { return };
        let is_end = match outcome {
            Outcome::Started => live.route.is_stream,
            Outcome::Finished { .. } => !live.route.is_stream && !at.is_started(),
            _ => false,
        };
        if is_end && live.claim.engine.is_none() && !live.is_promoted() {
            let (service, elapsed) = (live.claim.service.clone(), now.saturating_sub(at.sent));
            let is_stream = live.route.is_stream;
            self.hedging.times(&service, is_stream).record(elapsed, now);
        }
    }

    /// Cancels the leg that was not answered first; the request goes on with the other one.
    fn cancel_other(
        &mut self,
        loser: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let request = first_leg(loser);
        let Some(live) = self.requests.get(&loser).cloned() else { return };
        if is_second_leg(loser) {
            return self.close_second_leg(request, HedgeEnd::Lost, now, effects);
        }
        self.log_hedge_end(request, HedgeEnd::Won, now, effects);
        if let live::Phase::AtServer(at) = &live.phase {
            let elapsed = now.saturating_sub(at.sent);
            // It would have taken at least that long.
            self.hedging.times(&live.claim.service, live.route.is_stream).record(elapsed, now);
            self.release_cancelled(at, now);
        }
        self.report_end(loser, &live, effects);
        self.promote_second_leg(request);
        effects.push(Effect::PublishLoad);
    }

    /// Releases the load of a cancelled leg. Its server took at least until now, and nothing else
    /// is known of it.
    fn release_cancelled(&mut self, at: &live::AtServer, now: ids::Timestamp) {
        self.release_load(at);
        let elapsed = now.saturating_sub(at.sent);
        let work_ms = self.servers.get(&at.server).map_or(f64::MAX, |server| server.work_ms);
        if elapsed.as_secs_f64() * 1_000.0 > work_ms {
            self.servers.record_work(&at.server, elapsed, now);
        }
    }

    /// Lets a request go on with its second leg as its only one.
    fn promote_second_leg(&mut self, request: call::RequestNumber) {
        let Some(second) = self.requests.remove(&second_leg(request)) else { return };
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.phase = second.phase;
        live.grant = second.grant;
        // Not below that of the first leg, so that later tickets are new.
        live.attempt = second.attempt;
        if let Some(hedge) = &mut live.hedge {
            hedge.is_open = false;
            hedge.is_promoted = true;
        }
    }

    /// Ends the first leg after a failure. The request goes on with the second one if that is at a
    /// server.
    fn fail_first_leg(
        &mut self,
        request: call::RequestNumber,
        outcome: Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let second = second_leg(request);
        let is_at_server =
            |live: &live::LiveRequest| matches!(live.phase, live::Phase::AtServer(_));
        if !self.requests.get(&second).is_some_and(is_at_server) {
            self.close_second_leg(request, HedgeEnd::Abandoned, now, effects);
            return self.progress(request, outcome, now, effects);
        }
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AtServer(at) = live.phase.clone() else { return };
        self.end_at_server(request, &at, &outcome, now, effects);
        self.note_failed_leg(request, &at, &outcome);
        self.log_hedge_end(request, HedgeEnd::FirstFailed, now, effects);
        self.promote_second_leg(request);
        self.place_waiting(now, effects);
    }

    /// Ends the second leg after a failure; the request goes on with the first one.
    fn fail_second_leg(
        &mut self,
        second: call::RequestNumber,
        outcome: &Outcome,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(leg) = self.requests.get(&second) else { return };
        let live::Phase::AtServer(at) = leg.phase.clone() else { return };
        let request = first_leg(second);
        self.log_hedge_end(request, HedgeEnd::Failed, now, effects);
        self.end_at_server(second, &at, outcome, now, effects);
        self.requests.remove(&second);
        if let Some(live) = self.requests.get_mut(&request) {
            live.count_arrival(&at, outcome);
        }
        self.mark_hedge_closed(request);
        self.note_failed_leg(request, &at, outcome);
        self.place_waiting(now, effects);
    }

    /// Notes for a request what the failure of one of its legs means for its end.
    fn note_failed_leg(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        outcome: &Outcome,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.claim.tried.push(at.server.clone());
        match outcome {
            Outcome::Unsent => live.run_attempts = live.run_attempts.saturating_sub(1),
            Outcome::Rejected | Outcome::Misdirected => {}
            _ => live.may_have_run = true,
        }
        live.has_failed_answer |= matches!(outcome, Outcome::Failed { .. });
    }

    /// Ends the second leg of a request that has two legs.
    pub(super) fn close_second_leg(
        &mut self,
        request: call::RequestNumber,
        end: HedgeEnd,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let second = second_leg(request);
        let Some(leg) = self.requests.get(&second) else { return };
        let live::Phase::AtServer(at) = leg.phase.clone() else {
            return self.drop_second_leg(second, Obstacle::FirstEnded, effects);
        };
        self.log_hedge_end(request, end, now, effects);
        self.release_cancelled(&at, now);
        if let Some(leg) = self.requests.remove(&second) {
            self.report_end(second, &leg, effects);
        }
        self.mark_hedge_closed(request);
        effects.push(Effect::PublishLoad);
    }

    /// Notes that a request has one leg again.
    fn mark_hedge_closed(&mut self, request: call::RequestNumber) {
        let live = self.requests.get_mut(&request);
        if let Some(hedge) = live.and_then(|live| live.hedge.as_deref_mut()) {
            hedge.is_open = false;
        }
    }

    /// Gives up a second leg that has no server, and gives back what was paid for it.
    pub(super) fn drop_second_leg(
        &mut self,
        second: call::RequestNumber,
        obstacle: Obstacle,
        effects: &mut Vec<Effect>,
    ) {
        let Some(leg) = self.requests.remove(&second) else { return };
        self.hedging.bucket(&leg.claim.service).refund();
        self.report_end(second, &leg, effects);
        self.budget.refund(&leg.claim.service, leg.prepaid_repeats);
        self.mark_hedge_closed(first_leg(second));
        log_obstacle(&leg, obstacle, effects);
    }

    /// Returns why a second leg that is refused was not sent.
    pub(super) fn obstacle_of(refusal: &refusal::Refusal) -> Obstacle {
        match refusal.reason {
            refusal::Reason::Quarantined => Obstacle::Suspect,
            refusal::Reason::NoCapacity => Obstacle::ShortOfRoom,
            _ => Obstacle::NoServer,
        }
    }

    fn log_hedge_end(
        &self,
        request: call::RequestNumber,
        end: HedgeEnd,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(second) = self.requests.get(&second_leg(request)) else { return };
        let live::Phase::AtServer(at) = &second.phase else { return };
        effects.push(Effect::Log(decision::Decision::HedgeEnded {
            request: fleet::text(&second.call.id),
            service: second.claim.service.to_string(),
            server: fleet::text(&at.server),
            end,
            extra_work_ms: waiting::millis(now.saturating_sub(at.sent)),
        }));
    }
}

/// Writes a line about a hedge that is not sent.
pub(super) fn log_obstacle(
    live: &live::LiveRequest,
    obstacle: Obstacle,
    effects: &mut Vec<Effect>,
) {
    effects.push(Effect::Log(decision::Decision::HedgeNotSent {
        request: fleet::text(&live.call.id),
        service: live.claim.service.to_string(),
        obstacle,
    }));
}

#[cfg(test)]
mod tests;
