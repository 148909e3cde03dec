//! Keeps the rate limits that servers name, for the whole fleet.

use crate::core::fleet;
use crate::core::fleet::Effect;
use crate::core::fleet::Fleet;
use crate::core::fleet::call;
use crate::core::fleet::decision;
use crate::core::fleet::live;
use crate::core::fleet::server_limits;
use crate::core::fleet::waiting;
use crate::core::ids;

impl Fleet {
    /// Applies what the head of an answer states about the rate limit of its server. Only an
    /// authentic answer shows that there is no limit.
    pub(super) fn receive_statement(
        &mut self,
        request: call::RequestNumber,
        statement: server_limits::Statement,
        is_authentic: bool,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.get(&request) else { return };
        let live::Phase::AtServer(at) = &live.phase else { return };
        let evidence = match statement {
            server_limits::Statement::PerSecond(rate_per_s) => {
                let named = server_limits::Named { rate_per_s, sent: at.sent, received: now };
                server_limits::Evidence::new(Some(named), None)
            }
            server_limits::Statement::Unlimited if is_authentic => {
                server_limits::Evidence::new(None, Some(at.sent))
            }
            server_limits::Statement::Unlimited => return,
            server_limits::Statement::Invalid => {
                let server = self.servers.get(&at.server);
                effects.push(Effect::Log(decision::Decision::ServerLimitInvalid {
                    server: fleet::text(&at.server),
                    request: fleet::text(&live.call.id),
                    rate_per_s: server.and_then(|server| server.limit.rate_per_s()),
                }));
                return;
            }
        };
        let (server, born_ms, sent) = (at.server.clone(), at.born_ms, at.sent);
        if let Some(change) = self.servers.record_limit(&server, born_ms, evidence) {
            let source = decision::LimitSource::Answer;
            self.log_limit_change(&server, change, source, sent, now, effects);
        }
    }

    fn log_limit_change(
        &self,
        server: &ids::ServerId,
        (previous_per_s, rate_per_s): (Option<f64>, Option<f64>),
        source: decision::LimitSource,
        sent: ids::Timestamp,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let Some(known) = self.servers.get(server) else { return };
        let service = &known.entry.service;
        let rates = self.servers.of_service(service).filter_map(|other| other.limit.rate_per_s());
        let rates: Vec<_> = rates.collect();
        effects.push(Effect::Log(decision::Decision::ServerLimitChanged {
            server: fleet::text(server),
            service: service.to_string(),
            rate_per_s,
            previous_per_s,
            source,
            age_ms: waiting::millis(now.saturating_sub(sent)),
            limited_servers: rates.len(),
            service_rate_per_s: rates.iter().sum(),
        }));
    }
}
