//! Tests of the configuration reducer within the complete state of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use galenayard::core::configuration::Message;
use galenayard::core::effect::Effect;
use galenayard::core::event::Event;
use galenayard::core::{escrow, membership, message, placement, scheduler, state};
use galenayard::document::Environment;

use crate::fleet::member;

fn options() -> state::Options {
    state::Options {
        own: member("d"),
        environment: Environment::Production,
        log_retention: Duration::from_secs(3_600),
        requests: galenayard::core::request::RequestLimits::default(),
        seed: 1,
        membership: membership::settings::Settings::default(),
        escrow: escrow::settings::Settings::default(),
        placement: placement::Policy::Affinity,
        scheduler: scheduler::Discipline::Fair,
    }
}

#[test]
fn new_instance_asks_the_instances_of_the_list_while_the_log_is_down() {
    let mut state = state::State::new(options());
    let peer_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let listed = membership::ListedInstance { id: Bytes::from_static(b"a"), peer_address };
    let now = Duration::from_secs(1);
    state.apply(Event::InstancesListed(vec![listed]), now);
    let effects = state.apply(Event::Tick, now);
    let pulled = effects.iter().any(|effect| match effect {
        Effect::Send { address, message: message::Message::Configuration(message), .. } => {
            *address == peer_address && matches!(message, Message::Pull { .. })
        }
        _ => false,
    });
    assert!(pulled, "{effects:?}");
}
