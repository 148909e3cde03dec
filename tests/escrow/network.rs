//! The simulated network: delivers messages with delays, duplicates and losses.

use bytes::Bytes;
use galenayard::core::escrow;
use galenayard::core::message::Message as Envelope;
use rand_chacha::rand_core::Rng;

use super::{Fleet, MessageFault, Step, kind};

impl Fleet {
    pub(super) fn send(&mut self, from: usize, to: &Bytes, message: escrow::Message) {
        let needs_kind = self.options.measure_bytes || !self.message_faults.is_empty();
        let kind = if needs_kind { kind(&message) } else { String::new() };
        if self.options.measure_bytes {
            let envelope = Envelope::Escrow(message.clone());
            let bytes = rmp_serde::to_vec(&envelope).map_or(0, |bytes| bytes.len()) as u64;
            for traffic in [&mut self.traffic[from], self.kinds.entry(kind.clone()).or_default()] {
                traffic.messages += 1;
                traffic.bytes += bytes;
            }
        }
        let Some(to) = self.nodes.iter().position(|node| node.id == *to) else { return };
        let partition = self.partition;
        let side = |index: usize| partition & (1 << index.min(31)) != 0;
        let fault = self.message_faults.iter().position(|(_, name)| *name == kind);
        let fault = fault.map(|index| self.message_faults.remove(index).0);
        let lost = self.chance(self.loss) || fault == Some(MessageFault::Lost);
        if side(from) != side(to) || lost {
            return;
        }
        let duplicated = self.chance(self.duplication) || fault == Some(MessageFault::Duplicated);
        let extra_ms = if let Some(MessageFault::Delayed(ms)) = fault { ms } else { 0 };
        for _ in 0..1 + usize::from(duplicated) {
            let jitter_us =
                if self.delay_ms == 0 { 0 } else { self.rng.next_u64() % (self.delay_ms * 1_000) };
            let at_us = self.now_us + self.options.latency_us + jitter_us + extra_ms * 1_000;
            let incarnation = self.nodes[from].incarnation;
            let message = message.clone();
            self.schedule(at_us, Step::Deliver { to, from, incarnation, message });
        }
    }

    pub(super) fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.next_u32() % 1_000 < per_mille
    }
}
