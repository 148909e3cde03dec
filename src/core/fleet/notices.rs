//! What servers ask of this instance in their answers: that they leave, or that it sends nothing
//! for some time.
//!
//! Load pattern: a server is about to stop, and its entry in the store says so late or never.

use std::time;

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::claim;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::servers;
use crate::core::fleet::waiting;
use crate::core::ids;

/// What an answer states about further requests to its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// The server leaves: it wants no more requests until it starts again.
    pub is_leaving: bool,
    /// The time for which the server wants no requests of this instance.
    pub pause: Option<time::Duration>,
    /// The time for which the server is still cold.
    pub cold: Option<time::Duration>,
}

impl Fleet {
    /// Applies what an answer states about further requests to its server.
    pub(super) fn receive_notice(
        &mut self,
        request: call::RequestNumber,
        notice: Notice,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if notice == Notice::default() {
            return;
        }
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AtServer(at) = live.phase.clone() else { return };
        let (server, born_ms) = (at.server.clone(), at.born_ms);
        let source = decision::Source::Answer;
        if notice.is_leaving && self.mark_leaving(&server, born_ms, source, now, effects) {
            let message = message::Message::ServerLeaving { server, born_ms };
            self.send_to_all(&message, effects);
        }
        if let Some(remaining) = notice.cold {
            self.receive_cold_statement(request, remaining, now, effects);
        }
        if let Some(pause) = notice.pause {
            self.pause_server(request, &at, pause, now, effects);
        }
    }

    /// Keeps requests of this instance from a server for the time that it has asked for.
    fn pause_server(
        &mut self,
        request: call::RequestNumber,
        at: &live::AtServer,
        pause: time::Duration,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        self.servers.pause(&at.server, at.born_ms, now + pause, now);
        effects.push(Effect::Log(decision::Decision::ServerPaused {
            server: fleet::text(&at.server),
            request: fleet::text(&live.call.id),
            pause_ms: waiting::millis(pause),
        }));
    }

    /// Returns the time until a server takes requests of this instance again, if all that could serve a
    /// claim have asked for a pause.
    pub(super) fn pause_of_all(
        &self,
        claim: &claim::Claim,
        now: ids::Timestamp,
    ) -> Option<time::Duration> {
        let mut generators = self
            .servers
            .of_service(&claim.service)
            .filter(|server| server.is_available(now))
            .filter(|server| server.entry.stage != Some(servers::Stage::Prefill))
            .filter(|server| claim.binding.allows(server))
            .filter(|server| !claim.tried.contains(&server.entry.id));
        // Mostly the first server has asked for none, which ends the search.
        let first = generators.next()?.pause(now);
        generators
            .try_fold(first, |shortest, server| {
                (!shortest.is_zero()).then(|| shortest.min(server.pause(now)))
            })
            .filter(|pause| !pause.is_zero())
    }

    /// Notes that a server leaves; returns whether that is new.
    pub(super) fn mark_leaving(
        &mut self,
        server: &ids::ServerId,
        born_ms: u64,
        source: decision::Source,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let is_new = self.servers.mark_leaving(server, born_ms, now);
        if is_new {
            let server = fleet::text(server);
            effects.push(Effect::Log(decision::Decision::ServerLeaving { server, source }));
        }
        is_new
    }

    /// Returns the servers that the owner of the service is not to grant for a claim: those that were
    /// tried, and those that want no more requests of this instance.
    pub(super) fn unwilling_servers(
        &self,
        claim: &claim::Claim,
        now: ids::Timestamp,
    ) -> Vec<ids::ServerId> {
        let servers = self.servers.of_service(&claim.service);
        let unwilling = servers.filter(|server| !server.is_willing(now));
        let unwilling = unwilling.map(|server| &server.entry.id);
        let unwilling = unwilling.filter(|server| !claim.tried.contains(server));
        claim.tried.iter().chain(unwilling).cloned().collect()
    }
}
