//! Delivers messages, late, twice or not at all.

use bytes::Bytes;
use galenayard::core::escrow;
use galenayard::core::message::Message as Envelope;
use rand_chacha::rand_core::Rng;

use super::{Fleet, Mishap, Step, kind};

impl Fleet {
    pub(super) fn send(&mut self, from: usize, to: &Bytes, message: escrow::Message) {
        let needs_kind = self.options.measure_bytes || !self.mishaps.is_empty();
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
        let mishap = self.mishaps.iter().position(|(_, name)| *name == kind);
        let mishap = mishap.map(|index| self.mishaps.remove(index).0);
        let lost = self.chance(self.loss) || mishap == Some(Mishap::Lost);
        if side(from) != side(to) || lost {
            return;
        }
        let twice = self.chance(self.duplication) || mishap == Some(Mishap::Twice);
        let late_ms = if let Some(Mishap::Late(ms)) = mishap { ms } else { 0 };
        for _ in 0..1 + usize::from(twice) {
            let jitter_us =
                if self.delay_ms == 0 { 0 } else { self.rng.next_u64() % (self.delay_ms * 1_000) };
            let at_us = self.now_us + self.options.latency_us + jitter_us + late_ms * 1_000;
            let incarnation = self.nodes[from].incarnation;
            let message = message.clone();
            self.schedule(at_us, Step::Deliver { to, from, incarnation, message });
        }
    }

    pub(super) fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.next_u32() % 1_000 < per_mille
    }
}
