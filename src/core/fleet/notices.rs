//! What servers ask of this instance in their answers: that they leave.
//!
//! Load pattern: a server is about to stop, and its entry in the store says so late or never.

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::claim;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::message;
use crate::core::fleet::servers;
use crate::core::ids;

/// What an answer states about further requests to its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// The server leaves: it wants no more requests until it starts again.
    pub is_leaving: bool,
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
        let live::Phase::AtServer(at) = &live.phase else { return };
        let (server, born_ms) = (at.server.clone(), at.born_ms);
        let source = decision::Source::Answer;
        if notice.is_leaving && self.mark_leaving(&server, born_ms, source, now, effects) {
            let message = message::Message::ServerLeaving { server, born_ms };
            self.send_to_all(&message, effects);
        }
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
        let is_new = |server: &&servers::Server| !claim.tried.contains(&server.entry.id);
        let servers = self.servers.of_service(&claim.service).filter(is_new);
        let unwilling = servers.filter(|server| !server.is_willing(now));
        let unwilling = unwilling.map(|server| server.entry.id.clone());
        claim.tried.iter().cloned().chain(unwilling).collect()
    }
}
