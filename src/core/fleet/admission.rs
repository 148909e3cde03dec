//! Admission and end of requests: keys, routes, limits and refusals.
//!
//! Load pattern: one workspace sends many times its rate; its requests are refused before they take
//! capacity from others.

use std::sync;

use rand::RngExt as _;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::catalog;
use crate::core::fleet::claim;
use crate::core::fleet::constants;
use crate::core::fleet::crashes;
use crate::core::fleet::decision;
use crate::core::fleet::hedging;
use crate::core::fleet::live;
use crate::core::fleet::refusal;
use crate::core::fleet::shutdown;
use crate::core::fleet::waiting;
use crate::core::ids;

impl Fleet {
    pub(super) fn arrive(
        &mut self,
        request: call::RequestNumber,
        call: call::Call,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let live = match self.admit(&call, now) {
            Ok(live) => live,
            Err(refusal) => {
                let id = fleet::text(&call.id);
                self.log_refusal(&id, refusal, None, None, now, effects);
                effects.push(Effect::Refuse { request, refusal });
                return;
            }
        };
        effects.push(Effect::Admit {
            request,
            expires: live.expires,
            is_stream: live.route.is_stream,
        });
        self.requests.insert(request, live);
        if self.refuse_if_quarantined(request, now, effects) {
            return;
        }
        self.take_charge(request, now, effects);
    }

    /// Starts the placement of a request that its workspace's limit allows.
    pub(super) fn start_placement(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get_mut(&request) else { return };
        live.phase = live::Phase::Waiting;
        self.budget.record_request(&live.claim.service, now);
        self.hedging.record_request(&live.claim.service);
        if !self.start_resumption(request, now, effects) {
            self.place_or_queue(request, now, effects);
        }
    }

    /// Checks the key, finds the route and creates the state of a request.
    fn admit(
        &mut self,
        call: &call::Call,
        now: ids::Timestamp,
    ) -> Result<live::LiveRequest, refusal::Refusal> {
        let refuse = refusal::Refusal::new;
        let Some(catalog) = self.catalog.clone() else {
            let wait = self.jittered(constants::MIN_RETRY_AFTER);
            let reason = refusal::Reason::Unconfigured;
            return Err(refusal::Refusal::retry_after(reason, wait));
        };
        let route = catalog
            .route(&call.host, &call.path)
            .cloned()
            .ok_or_else(|| refuse(refusal::Reason::NoRoute))?;
        let workspace = if catalog.has_keys() && !route.is_open {
            let key = call.key.as_ref().ok_or_else(|| refuse(refusal::Reason::UnknownKey))?;
            let digest = catalog::key_digest(key);
            let found = catalog.workspace(&digest).cloned();
            Some(found.ok_or_else(|| refuse(refusal::Reason::UnknownKey))?)
        } else {
            None
        };
        let service =
            self.choose_service(&route).ok_or_else(|| refuse(refusal::Reason::NoRoute))?;
        let latest_send = self.latest_send(&route, &service);
        if now >= latest_send {
            return Err(shutdown::leaving());
        }
        let time_allowed = call.deadline.unwrap_or(route.timeout).min(route.timeout);
        let expires = now + time_allowed.saturating_sub(constants::ANSWER_MARGIN);
        let engine = catalog.engine(&service);
        let tokens = call.tokens.unwrap_or_default();
        let priority = workspace.as_ref().and_then(|workspace| workspace.priority);
        Ok(live::LiveRequest {
            call: call.clone(),
            claim: claim::Claim {
                start_time: self.start_time(engine, &service, tokens, route.objective),
                engine,
                service,
                tokens,
                prompt: call.prompt,
                workspace: workspace.as_ref().map(|workspace| sync::Arc::clone(&workspace.name)),
                priority: priority.unwrap_or(route.priority),
                arrived: now,
                objective_at: now + route.objective,
                begin_by: route.begin_by(now, expires).min(latest_send),
                tried: Vec::new(),
                domain: self.domain.clone(),
                binding: claim::Binding::Any,
            },
            key: call.content.map(|content| {
                let name = workspace.as_ref().map(|workspace| &*workspace.name);
                crashes::request_key(content, name)
            }),
            workspace,
            charge: 0.0,
            arrived: now,
            expires,
            phase: live::Phase::Waiting,
            order: None,
            attempt: 0,
            grant: None,
            arrivals: 0,
            has_prefilled: false,
            prepaid_repeats: 0,
            run_attempts: 0,
            prefill_server: None,
            held: None,
            may_have_run: false,
            is_position_lost: false,
            has_failed_answer: false,
            hedge: None,
            route,
        })
    }

    fn choose_service(&mut self, route: &catalog::Route) -> Option<catalog::ServiceId> {
        let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
        let mut draw = self.rng.random_range(0..total.max(1));
        for (service, weight) in &route.services {
            if draw < *weight {
                return Some(service.clone());
            }
            draw -= weight;
        }
        route.services.first().map(|(service, _)| service.clone())
    }

    /// Ends a request without a server's answer, or with the stored answer of a server that failed.
    pub(super) fn refuse(
        &mut self,
        request: call::RequestNumber,
        refusal: refusal::Refusal,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if hedging::is_second_leg(request) {
            return self.drop_second_leg(request, Self::obstacle_of(&refusal), effects);
        }
        let Some(live) = self.end_request(request, now, effects) else { return };
        if live.may_have_run && refusal.retry_after.is_some() && live.has_failed_answer {
            effects.push(Effect::DeliverFailure { request });
            return;
        }
        let refusal = refusal.for_request(live.may_have_run);
        let id = fleet::text(&live.call.id);
        let workspace = live.workspace_name();
        self.log_refusal(&id, refusal, workspace, Some(&live), now, effects);
        effects.push(Effect::Refuse { request, refusal });
    }

    /// Removes a request; returns its charge if it certainly has not run.
    pub(super) fn end_request(
        &mut self,
        request: call::RequestNumber,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> Option<live::LiveRequest> {
        self.release_held_prompt(request, now, effects);
        let live = self.requests.remove(&request)?;
        if live.hedge.as_ref().is_some_and(|hedge| hedge.is_open) {
            self.close_second_leg(request, hedging::HedgeEnd::Abandoned, now, effects);
        }
        self.report_end(request, &live, effects);
        self.waiting.retain(|waiting| *waiting != request);
        if let live::Phase::AtServer(at) = &live.phase {
            self.release_load(at);
        }
        self.budget.refund(&live.claim.service, live.prepaid_repeats);
        if !live.may_have_run {
            self.refund_charge(&live, now, effects);
        }
        Some(live)
    }

    pub(super) fn log_refusal(
        &self,
        id: &str,
        refusal: refusal::Refusal,
        workspace: Option<String>,
        live: Option<&live::LiveRequest>,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Log(decision::Decision::Refused {
            request: id.to_string(),
            reason: refusal.reason,
            status: refusal.status(),
            workspace,
            version: self.version(),
            waited_ms: live.map_or(0, |live| waiting::millis(now.saturating_sub(live.arrived))),
            waiting: self.waiting.len(),
            may_have_run: live.is_some_and(|live| live.may_have_run),
            retry_after_ms: refusal.retry_after.map(waiting::millis),
            spending: refusal.spending,
            quarantine: refusal.quarantine.map(decision::quarantine_name),
            limits: live.and_then(|live| self.limit_view(&live.claim.service, now)),
        }));
    }
}
