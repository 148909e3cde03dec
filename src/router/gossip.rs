//! Exchanges digests of load, limits and members with peers over UDP.

use std::net;
use std::rc;

use crate::core::fleet;
use crate::core::fleet::message;
use crate::router;
use crate::router::context;

/// The size of the receive buffer; no UDP datagram is longer.
const MAX_DATAGRAM_BYTES: usize = 64 * 1_024;

/// The UDP socket for messages between instances.
pub struct Gossip {
    socket: rc::Rc<tokio::net::UdpSocket>,
}

impl Gossip {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub fn bind(address: net::SocketAddr) -> Result<Self, router::RouterError> {
        let bind = || {
            let socket = net::UdpSocket::bind(address)?;
            socket.set_nonblocking(true)?;
            tokio::net::UdpSocket::from_std(socket)
        };
        let socket = bind().map_err(|source| router::RouterError::Bind { address, source })?;
        Ok(Self { socket: rc::Rc::new(socket) })
    }

    /// Sends and receives digests for as long as the instance runs.
    pub async fn run(self, context: rc::Rc<context::Context>) {
        context.set_peer_socket(rc::Rc::clone(&self.socket));
        let receiving = receive(rc::Rc::clone(&self.socket), rc::Rc::clone(&context));
        tokio::task::spawn_local(receiving);
        loop {
            let targets = self.send(&context);
            let now = context.now();
            let schedule = context.read(|fleet| fleet.digest_schedule(targets, now));
            tokio::time::sleep(schedule.min_interval).await;
            let max_extra_wait = schedule.max_interval.saturating_sub(schedule.min_interval);
            // Without a change, the next digest is sent after the longest interval.
            let _ = tokio::time::timeout(
                max_extra_wait,
                context.wait_for_change(schedule.follows_load),
            )
            .await;
        }
    }

    fn send(&self, context: &context::Context) -> usize {
        let now = context.now();
        let digests = context.read(|fleet| fleet.addressed_digests(now));
        let mut targets = 0;
        for addressed in digests {
            targets += addressed.to.len();
            match rmp_serde::to_vec(&message::Message::Digest(addressed.digest)) {
                Ok(datagram) => {
                    for target in addressed.to {
                        // Sending may fail if the peer has stopped; its timeout detects that.
                        let _ = self.socket.try_send_to(&datagram, target);
                    }
                }
                Err(failure) => log::error!("cannot encode a digest: {failure}"),
            }
        }
        targets
    }
}

async fn receive(socket: rc::Rc<tokio::net::UdpSocket>, context: rc::Rc<context::Context>) {
    let mut datagram = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut datagram).await {
            Ok((length, from)) => match rmp_serde::from_slice(&datagram[..length]) {
                Ok(message) => context.apply(fleet::Event::Received { from, message }),
                Err(failure) => log::warn!("cannot decode a datagram from {from}: {failure}"),
            },
            Err(failure) => {
                log::debug!("cannot receive a datagram: {failure}");
                tokio::task::yield_now().await;
            }
        }
    }
}
