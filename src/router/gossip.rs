//! Tells peers of load, limits and members by datagrams.

use std::net;
use std::rc;
use std::time;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::message;
use crate::router;
use crate::router::context;

/// The longest time between two digests: a peer counts as silent after several of them.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The shortest time between two digests, for each peer: bounds the datagrams of a large fleet to
/// 125 a second in each direction.
const SPACING_PER_PEER: time::Duration = time::Duration::from_millis(8);

/// The longest such time, below the silence after which a peer no longer counts as live.
const SPACING_AT_MOST: time::Duration = time::Duration::from_millis(700);

/// Digests between two that name the members.
const MEMBERS_EVERY: u64 = 4;

/// The longest datagram that is read.
const DATAGRAM_BYTES: usize = 64 * 1_024;

/// The socket for datagrams of peers.
pub struct Gossip {
    socket: rc::Rc<tokio::net::UdpSocket>,
    own: net::SocketAddr,
    seeds: Vec<net::SocketAddr>,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn bind(
        address: net::SocketAddr,
        seeds: Vec<net::SocketAddr>,
    ) -> Result<Self, router::RouterError> {
        let bind = || {
            let socket = net::UdpSocket::bind(address)?;
            socket.set_nonblocking(true)?;
            tokio::net::UdpSocket::from_std(socket)
        };
        let socket = bind().map_err(|source| router::RouterError::Bind { address, source })?;
        Ok(Self { socket: rc::Rc::new(socket), own: address, seeds })
    }

    /// Sends and receives digests for as long as the instance runs.
    pub async fn run(self, context: rc::Rc<context::Context>) {
        context.set_speaker(rc::Rc::clone(&self.socket));
        let receiving = receive(rc::Rc::clone(&self.socket), rc::Rc::clone(&context));
        tokio::task::spawn_local(receiving);
        let mut round = 0_u64;
        loop {
            round += 1;
            let targets = self.send(&context, round.is_multiple_of(MEMBERS_EVERY)).await;
            let spacing = SPACING_PER_PEER * u32::try_from(targets).unwrap_or(u32::MAX).max(1);
            let spacing = spacing.min(SPACING_AT_MOST);
            tokio::time::sleep(spacing).await;
            let rest = INTERVAL.saturating_sub(spacing);
            // Without news, the next digest follows after the interval.
            let _ = tokio::time::timeout(rest, context.publish.notified()).await;
        }
    }

    async fn send(&self, context: &context::Context, with_members: bool) -> usize {
        let now = context.now();
        let (digest, known) =
            context.read(|fleet| (fleet.digest(now, with_members), fleet.known_peers()));
        let targets: collections::Set<_> = known
            .into_iter()
            .chain(self.seeds.iter().copied())
            .filter(|target| *target != self.own)
            .collect();
        match rmp_serde::to_vec(&message::Message::Digest(digest)) {
            Ok(datagram) => {
                for target in &targets {
                    // A peer that has just ended refuses; its silence tells.
                    let _ = self.socket.try_send_to(&datagram, *target);
                }
            }
            Err(failure) => log::error!("a digest cannot be written: {failure}"),
        }
        targets.len()
    }
}

async fn receive(socket: rc::Rc<tokio::net::UdpSocket>, context: rc::Rc<context::Context>) {
    let mut datagram = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut datagram).await {
            Ok((length, from)) => match rmp_serde::from_slice(&datagram[..length]) {
                Ok(message) => context.apply(fleet::Event::Told { from, message }),
                Err(failure) => log::warn!("a datagram of {from} cannot be read: {failure}"),
            },
            Err(failure) => {
                log::debug!("no datagram: {failure}");
                tokio::task::yield_now().await;
            }
        }
    }
}
