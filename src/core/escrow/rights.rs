//! Decides which shares this instance holds.
//!
//! A share may be held after every other member has permitted it, or is known to have lost its
//! rights. Of any two live members at most one has the other's permission, so at most one of them
//! holds the share, however far their views lag. A member that holds a share keeps it until the
//! claimant lacks no other permission, and hands over its level with the permission.

use std::sync;
use std::time;

use crate::core::collections;
use crate::core::escrow::account;
use crate::core::escrow::bucket;
use crate::core::escrow::constants;
use crate::core::escrow::message;
use crate::core::escrow::ranking;
use crate::core::escrow::settings;
use crate::core::escrow::{Effect, Escrow};
use crate::core::ids;
use crate::core::membership;

type Outbox = collections::Map<ids::InstanceId, Vec<message::Claimed>>;

impl Escrow {
    /// Takes over a new view.
    pub(super) fn view(
        &mut self,
        view: membership::SharedView,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let joined = joined_in(&view, &self.own, self.incarnation);
        if joined != self.joined {
            self.forfeit();
        }
        self.joined = joined;
        self.newcomers.retain(|_, joined| *joined > view.version);
        self.departed.retain(|id, incarnation| joined_in(&view, id, *incarnation).is_some());
        self.view = sync::Arc::clone(&view);
        self.peers.retain(|id, _| view.members.iter().any(|member| member.id == *id));
        self.rank(now);
        self.advance_claims(now, effects);
    }

    /// Drops all shares, permissions and levels.
    pub(super) fn forfeit(&mut self) {
        for account in self.accounts.values_mut() {
            account.bucket.forfeit();
            account.shares = Default::default();
        }
    }

    /// Computes the holders of all shares again.
    pub(super) fn rank(&mut self, now: ids::Timestamp) {
        let field = ranking::Field::new(&self.view, &self.departed);
        for account in self.accounts.values_mut() {
            account.holders = match self.settings.policy {
                settings::Policy::Escrow => field.holders(&account.limit.workspace),
                settings::Policy::EqualSplit => vec![self.own.clone()],
            };
            if self.settings.policy == settings::Policy::EqualSplit {
                account.bucket.divide(self.view.members.len() as u64, now);
            }
        }
    }

    /// Starts, repeats and completes claims.
    pub(super) fn advance_claims(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if self.settings.policy == settings::Policy::EqualSplit {
            self.hold_equal_part(now);
            return;
        }
        let required = self.required();
        let may_claim = self.may_act(now) && self.joined.is_some();
        let number = self.next_number;
        let mut outbox = Outbox::default();
        let mut claiming = false;
        for account in self.accounts.values_mut() {
            for index in 0..constants::SHARES {
                let wanted = may_claim && account.holders.get(index) == Some(&self.own);
                start_or_stop(&mut account.shares[index], wanted);
                complete(account, index, &required, now);
                let account::Share::Claiming(claim) = &mut account.shares[index] else { continue };
                claiming = true;
                let ask = Question { index, number, now };
                ask.put(claim, &account.limit.workspace, &required, &mut outbox);
            }
        }
        self.claiming = claiming;
        self.send_claims(outbox, effects);
    }

    /// Answers a claim of another member.
    pub(super) fn claimed(
        &mut self,
        from: &ids::InstanceId,
        claim: ClaimMessage,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if !self.admits(from, claim.joined) {
            return;
        }
        let newer = claim.version > self.view.version;
        let mut free = Vec::new();
        let mut handed = Vec::new();
        for claimed in claim.claims {
            let shares = self.permit(from, &claimed, newer, now, &mut handed);
            if shares != 0 {
                free.push(message::Permitted { workspace: claimed.workspace, shares });
            }
        }
        if free.is_empty() && handed.is_empty() {
            return;
        }
        let moved = self.claiming || !handed.is_empty();
        let message = message::Message::Permit { number: claim.number, free, handed };
        effects.push(Effect::Send { to: from.clone(), message });
        if moved {
            self.advance_claims(now, effects);
        }
    }

    /// Takes a permission from another member.
    pub(super) fn permitted(
        &mut self,
        from: &ids::InstanceId,
        number: message::Number,
        free: Vec<message::Permitted>,
        handed: Vec<message::Handed>,
    ) {
        for permitted in free {
            let Some(account) = self.accounts.get_mut(&permitted.workspace) else { continue };
            for index in indices(permitted.shares) {
                accept(&mut account.shares[index], from, number, None);
            }
        }
        for share in handed {
            let Some(account) = self.accounts.get_mut(&share.workspace) else { continue };
            let Some(state) = account.shares.get_mut(usize::from(share.share)) else { continue };
            let portion = bucket::Portion {
                level_microtokens: share.level_microtokens,
                outstanding_microtokens: share.outstanding_microtokens,
            };
            accept(state, from, number, Some(portion));
        }
    }

    /// Begins to leave: other members are to claim the shares that are held here.
    pub(super) fn leave(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        self.departed.insert(self.own.clone(), self.incarnation);
        self.rank(now);
        self.advance_claims(now, effects);
        self.advance_leave(now, effects);
    }

    /// Notes that a member is leaving, before its record is read.
    pub(super) fn departing(
        &mut self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if joined_in(&self.view, &from, incarnation).is_none() {
            return;
        }
        if self.departed.insert(from, incarnation) == Some(incarnation) {
            return;
        }
        self.rank(now);
        self.advance_claims(now, effects);
    }

    /// Tells all members that this instance leaves, until others hold all its shares.
    pub(super) fn advance_leave(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let Some(since) = self.leaving_since else { return };
        if self.handed_over {
            return;
        }
        let timeout = time::Duration::from_millis(constants::HAND_OVER_TIMEOUT_MS);
        if !self.has_heirs() || !self.may_act(now) || now >= since + timeout {
            self.handed_over = true;
            effects.push(Effect::HandedOver);
            return;
        }
        if self.departs_at > now {
            return;
        }
        self.departs_at = now + time::Duration::from_millis(constants::CLAIM_RETRY_MS);
        for to in self.required() {
            effects.push(Effect::Send { to, message: message::Message::Depart });
        }
    }

    /// Tells whether another member is to take over a share that is held here.
    fn has_heirs(&self) -> bool {
        self.accounts.values().any(|account| {
            let mut pairs = account.shares.iter().zip(&account.holders);
            pairs
                .any(|(share, holder)| matches!(share, account::Share::Held) && *holder != self.own)
        })
    }

    fn required(&self) -> Vec<ids::InstanceId> {
        let members = self.view.members.iter().map(|member| &member.id);
        let mut required: Vec<_> = members.chain(self.newcomers.keys()).cloned().collect();
        required.sort();
        required.dedup();
        required.retain(|id| *id != self.own);
        required
    }

    /// Tells whether a claimant may be alive, and remembers one whose join was not read yet.
    fn admits(&mut self, from: &ids::InstanceId, joined: ids::Offset) -> bool {
        if joined <= self.view.version {
            return self.view.members.iter().any(|one| one.id == *from && one.joined == joined);
        }
        let known = self.newcomers.contains_key(from);
        if !known && self.newcomers.len() >= constants::MAX_NEWCOMERS {
            return false;
        }
        self.newcomers.insert(from.clone(), joined);
        true
    }

    fn permit(
        &mut self,
        from: &ids::InstanceId,
        claimed: &message::Claimed,
        newer: bool,
        now: ids::Timestamp,
        handed: &mut Vec<message::Handed>,
    ) -> u8 {
        let Some(account) = self.accounts.get_mut(&claimed.workspace) else {
            return claimed.shares;
        };
        let mut free = 0;
        for index in indices(claimed.shares) {
            let wanted = account.holders.get(index) == Some(&self.own);
            if wanted && !newer {
                continue;
            }
            let last = claimed.last & (1 << index) != 0;
            match &mut account.shares[index] {
                account::Share::Held if last => handed.push(hand(account, index, now)),
                account::Share::Held => {}
                account::Share::Claiming(claim) => {
                    claim.revoke(from);
                    free |= 1 << index;
                }
                account::Share::Idle => free |= 1 << index,
            }
        }
        free
    }

    fn send_claims(&mut self, outbox: Outbox, effects: &mut Vec<Effect>) {
        let Some(joined) = self.joined else { return };
        if outbox.is_empty() {
            return;
        }
        let number = self.draw_number();
        let version = self.view.version;
        let mut messages: Vec<_> = outbox.into_iter().collect();
        messages.sort_by(|left, right| left.0.cmp(&right.0));
        for (to, claims) in messages {
            let message = message::Message::Claim { number, joined, version, claims };
            effects.push(Effect::Send { to, message });
        }
    }

    fn hold_equal_part(&mut self, now: ids::Timestamp) {
        if self.joined.is_none() || !self.may_act(now) {
            return;
        }
        for account in self.accounts.values_mut() {
            if account.bucket.shares() == 0 {
                account.bucket.add_share(bucket::Portion::default(), now);
            }
        }
    }
}

/// The contents of a claim.
pub(super) struct ClaimMessage {
    /// The number that the answer repeats.
    pub number: message::Number,
    /// The offset of the claimant's join record.
    pub joined: ids::Offset,
    /// The version of the claimant's view.
    pub version: ids::Offset,
    /// The shares.
    pub claims: Vec<message::Claimed>,
}

impl account::Claim {
    /// Gives a member a permission: what was learned from it or of a hand-over is void.
    fn revoke(&mut self, from: &ids::InstanceId) {
        self.permits.remove(from);
        self.asked.remove(from);
        self.portion = None;
    }
}

/// A claim for one share at one time.
struct Question {
    index: usize,
    number: message::Number,
    now: ids::Timestamp,
}

impl Question {
    fn put(
        &self,
        claim: &mut account::Claim,
        workspace: &ids::WorkspaceId,
        required: &[ids::InstanceId],
        outbox: &mut Outbox,
    ) {
        let missing: Vec<_> = required.iter().filter(|id| !claim.permits.contains(*id)).collect();
        let last = missing.len() == 1;
        for id in missing {
            if self.is_due(claim.asked.get(id), last) {
                let first = claim.asked.get(id).map_or(self.number, |asking| asking.number);
                let asking = account::Asking { number: first, sent_at: self.now, last };
                claim.asked.insert(id.clone(), asking);
                self.write(outbox.entry(id.clone()).or_default(), workspace, last);
            }
        }
    }

    fn is_due(&self, asking: Option<&account::Asking>, last: bool) -> bool {
        let retry = time::Duration::from_millis(constants::CLAIM_RETRY_MS);
        asking.is_none_or(|asking| asking.sent_at + retry <= self.now || (last && !asking.last))
    }

    fn write(&self, claims: &mut Vec<message::Claimed>, workspace: &ids::WorkspaceId, last: bool) {
        let bit = 1 << self.index;
        let last = if last { bit } else { 0 };
        match claims.last_mut().filter(|claimed| claimed.workspace == *workspace) {
            Some(claimed) => {
                claimed.shares |= bit;
                claimed.last |= last;
            }
            None => {
                let workspace = workspace.clone();
                claims.push(message::Claimed { workspace, shares: bit, last });
            }
        }
    }
}

fn start_or_stop(share: &mut account::Share, wanted: bool) {
    match share {
        account::Share::Idle if wanted => {
            *share = account::Share::Claiming(account::Claim::default());
        }
        account::Share::Claiming(_) if !wanted => *share = account::Share::Idle,
        _ => {}
    }
}

fn complete(
    account: &mut account::Account,
    index: usize,
    required: &[ids::InstanceId],
    now: ids::Timestamp,
) {
    let account::Share::Claiming(claim) = &mut account.shares[index] else { return };
    if !required.iter().all(|id| claim.permits.contains(id)) {
        // Another member may hold the share before this claim is complete.
        claim.portion = None;
        return;
    }
    // Without a hand-over the grants of a former holder may still be spent in full.
    let unknown = bucket::Portion {
        level_microtokens: 0,
        outstanding_microtokens: account.bucket.share_capacity_microtokens(),
    };
    let portion = claim.portion.unwrap_or(unknown);
    account.shares[index] = account::Share::Held;
    account.bucket.add_share(portion, now);
}

fn hand(account: &mut account::Account, index: usize, now: ids::Timestamp) -> message::Handed {
    let portion = account.bucket.remove_share(now);
    account.shares[index] = account::Share::Idle;
    message::Handed {
        workspace: account.limit.workspace.clone(),
        share: index as u8,
        level_microtokens: portion.level_microtokens,
        outstanding_microtokens: portion.outstanding_microtokens,
    }
}

fn accept(
    share: &mut account::Share,
    from: &ids::InstanceId,
    number: message::Number,
    portion: Option<bucket::Portion>,
) {
    let account::Share::Claiming(claim) = share else { return };
    if claim.asked.get(from).is_none_or(|asking| number < asking.number) {
        return;
    }
    if !claim.permits.insert(from.clone()) {
        return;
    }
    claim.portion = portion.or(claim.portion);
}

fn indices(mask: u8) -> impl Iterator<Item = usize> {
    (0..constants::SHARES).filter(move |index| mask & (1 << index) != 0)
}

fn joined_in(
    view: &membership::View,
    id: &ids::InstanceId,
    incarnation: ids::Incarnation,
) -> Option<ids::Offset> {
    let own = view.members.iter().find(|one| one.id == *id && one.incarnation == incarnation);
    own.map(|member| member.joined)
}
