//! Decides which shares this instance holds.
//!
//! An instance may hold a share once every other member has permitted it or is known to have lost
//! its lease. Of any two live members at most one has the other's permit, so at most one of them
//! holds the share, however far their views lag behind. A member that holds a share keeps it until
//! its permit is the last one that the claimant lacks, and hands over the level with the permit.

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

type Outbox = collections::Map<ids::InstanceId, Vec<message::ClaimedShares>>;

impl Escrow {
    /// Applies a new membership view.
    pub(super) fn apply_view(
        &mut self,
        view: membership::SharedView,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        let joined = join_offset(&view, &self.own, self.incarnation);
        if joined != self.joined {
            self.drop_all_shares();
        }
        self.joined = joined;
        self.new_instances.retain(|_, joined| *joined > view.version);
        self.leaving_members
            .retain(|id, incarnation| join_offset(&view, id, *incarnation).is_some());
        self.view = sync::Arc::clone(&view);
        self.peers.retain(|id, _| view.members.iter().any(|member| member.id == *id));
        self.assign_holders(now);
        self.advance_claims(now, effects);
    }

    /// Drops all shares, claims and bucket levels.
    pub(super) fn drop_all_shares(&mut self) {
        for account in self.accounts.values_mut() {
            account.bucket.drop_shares();
            account.shares = Default::default();
        }
    }

    /// Recomputes which member is to hold each share.
    pub(super) fn assign_holders(&mut self, now: ids::Timestamp) {
        let candidates = ranking::Candidates::new(&self.view, &self.leaving_members);
        for account in self.accounts.values_mut() {
            account.holders = match self.settings.policy {
                settings::Policy::Escrow => candidates.holders(&account.limit.workspace),
                settings::Policy::EqualSplit => vec![self.own.clone()],
            };
            if self.settings.policy == settings::Policy::EqualSplit {
                account.bucket.set_parts(self.view.members.len() as u64, now);
            }
        }
    }

    /// Starts, resends, completes and abandons claims according to the assigned holders.
    pub(super) fn advance_claims(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if self.settings.policy == settings::Policy::EqualSplit {
            self.hold_equal_part(now);
            return;
        }
        let others = self.other_members();
        let may_claim = self.is_valid(now) && self.joined.is_some();
        let number = self.next_number;
        let mut outbox = Outbox::default();
        let mut claiming = false;
        for account in self.accounts.values_mut() {
            for index in 0..constants::SHARES {
                let wanted = may_claim && account.holders.get(index) == Some(&self.own);
                update_claiming(&mut account.shares[index], wanted);
                complete_claim(account, index, &others, now);
                let account::Share::Claiming(claim) = &mut account.shares[index] else { continue };
                claiming = true;
                let share_claim = ShareClaim { index, number, now };
                share_claim.send_due(claim, &account.limit.workspace, &others, &mut outbox);
            }
        }
        self.has_open_claims = claiming;
        self.send_claims(outbox, effects);
    }

    /// Handles a claim of another member: permits the shares that this instance does not need, and
    /// hands over those for which only its permit is missing.
    pub(super) fn receive_claim(
        &mut self,
        from: &ids::InstanceId,
        claim: ClaimMessage,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if !self.accepts_claimant(from, claim.joined) {
            return;
        }
        let newer = claim.version > self.view.version;
        let mut free = Vec::new();
        let mut handed = Vec::new();
        for claimed in claim.claims {
            let shares = self.permit_shares(from, &claimed, newer, now, &mut handed);
            if shares != 0 {
                free.push(message::PermittedShares { workspace: claimed.workspace, shares });
            }
        }
        if free.is_empty() && handed.is_empty() {
            return;
        }
        let moved = self.has_open_claims || !handed.is_empty();
        let message = message::Message::Permit { number: claim.number, free, handed };
        effects.push(Effect::Send { to: from.clone(), message });
        if moved {
            self.advance_claims(now, effects);
        }
    }

    /// Handles a permit of another member.
    pub(super) fn receive_permit(
        &mut self,
        from: &ids::InstanceId,
        number: message::Number,
        free: Vec<message::PermittedShares>,
        handed: Vec<message::HandedShare>,
    ) {
        for permitted in free {
            let Some(account) = self.accounts.get_mut(&permitted.workspace) else { continue };
            for index in share_indices(permitted.shares) {
                accept_permit(&mut account.shares[index], from, number, None);
            }
        }
        for share in handed {
            let Some(account) = self.accounts.get_mut(&share.workspace) else { continue };
            let Some(state) = account.shares.get_mut(usize::from(share.share)) else { continue };
            let balance = bucket::ShareBalance {
                level_microtokens: share.level_microtokens,
                outstanding_microtokens: share.outstanding_microtokens,
            };
            accept_permit(state, from, number, Some(balance));
        }
    }

    /// Starts to leave: the other members are to claim the shares of this instance.
    pub(super) fn start_leaving(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        if self.leaving_since.is_some() {
            return;
        }
        self.leaving_since = Some(now);
        self.leaving_members.insert(self.own.clone(), self.incarnation);
        self.assign_holders(now);
        self.advance_claims(now, effects);
        self.advance_leaving(now, effects);
    }

    /// Handles a member's announcement that it is leaving, which may arrive before its log record.
    pub(super) fn receive_leaving(
        &mut self,
        from: ids::InstanceId,
        incarnation: ids::Incarnation,
        now: ids::Timestamp,
        effects: &mut Vec<Effect>,
    ) {
        if join_offset(&self.view, &from, incarnation).is_none() {
            return;
        }
        if self.leaving_members.insert(from, incarnation) == Some(incarnation) {
            return;
        }
        self.assign_holders(now);
        self.advance_claims(now, effects);
    }

    /// Announces to all members that this instance is leaving, until they hold all its shares.
    pub(super) fn advance_leaving(&mut self, now: ids::Timestamp, effects: &mut Vec<Effect>) {
        let Some(since) = self.leaving_since else { return };
        if self.handed_over {
            return;
        }
        let timeout = time::Duration::from_millis(constants::HANDOVER_TIMEOUT_MS);
        if !self.has_successors() || !self.is_valid(now) || now >= since + timeout {
            self.handed_over = true;
            effects.push(Effect::HandedOver);
            return;
        }
        if self.resend_leaving_at > now {
            return;
        }
        self.resend_leaving_at = now + time::Duration::from_millis(constants::CLAIM_RETRY_MS);
        for to in self.other_members() {
            effects.push(Effect::Send { to, message: message::Message::Leaving });
        }
    }

    /// Returns whether another member is to take over a share that this instance holds.
    fn has_successors(&self) -> bool {
        self.accounts.values().any(|account| {
            let mut pairs = account.shares.iter().zip(&account.holders);
            pairs
                .any(|(share, holder)| matches!(share, account::Share::Held) && *holder != self.own)
        })
    }

    fn other_members(&self) -> Vec<ids::InstanceId> {
        let members = self.view.members.iter().map(|member| &member.id);
        let mut others: Vec<_> = members.chain(self.new_instances.keys()).cloned().collect();
        others.sort();
        others.dedup();
        others.retain(|id| *id != self.own);
        others
    }

    /// Returns whether a claimant may be a live member, and remembers one whose join record this
    /// instance has not read yet.
    fn accepts_claimant(&mut self, from: &ids::InstanceId, joined: ids::Offset) -> bool {
        if joined <= self.view.version {
            return self.view.members.iter().any(|one| one.id == *from && one.joined == joined);
        }
        let known = self.new_instances.contains_key(from);
        if !known && self.new_instances.len() >= constants::MAX_NEW_INSTANCES {
            return false;
        }
        self.new_instances.insert(from.clone(), joined);
        true
    }

    fn permit_shares(
        &mut self,
        from: &ids::InstanceId,
        claimed: &message::ClaimedShares,
        newer: bool,
        now: ids::Timestamp,
        handed: &mut Vec<message::HandedShare>,
    ) -> u8 {
        let Some(account) = self.accounts.get_mut(&claimed.workspace) else {
            return claimed.shares;
        };
        let mut free = 0;
        for index in share_indices(claimed.shares) {
            let wanted = account.holders.get(index) == Some(&self.own);
            if wanted && !newer {
                continue;
            }
            let last = claimed.last_missing & (1 << index) != 0;
            match &mut account.shares[index] {
                account::Share::Held if last => handed.push(hand_over(account, index, now)),
                account::Share::Held => {}
                account::Share::Claiming(claim) => {
                    claim.discard_permit(from);
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
        let number = self.allocate_number();
        let version = self.view.version;
        let mut messages: Vec<_> = outbox.into_iter().collect();
        messages.sort_by(|left, right| left.0.cmp(&right.0));
        for (to, claims) in messages {
            let message = message::Message::Claim { number, joined, version, claims };
            effects.push(Effect::Send { to, message });
        }
    }

    fn hold_equal_part(&mut self, now: ids::Timestamp) {
        if self.joined.is_none() || !self.is_valid(now) {
            return;
        }
        for account in self.accounts.values_mut() {
            if account.bucket.shares() == 0 {
                account.bucket.add_share(bucket::ShareBalance::default(), now);
            }
        }
    }
}

/// The content of a claim message.
pub(super) struct ClaimMessage {
    /// The number that the permit repeats.
    pub number: message::Number,
    /// The offset of the claimant's join record.
    pub joined: ids::Offset,
    /// The version of the claimant's view.
    pub version: ids::Offset,
    /// The claimed shares, by workspace.
    pub claims: Vec<message::ClaimedShares>,
}

impl account::Claim {
    /// Discards the permit of a member that is itself permitted now, and any handed-over balance.
    fn discard_permit(&mut self, from: &ids::InstanceId) {
        self.permits.remove(from);
        self.permit_requests.remove(from);
        self.handed_over = None;
    }
}

/// A claim for one share, at the time at which it is sent.
struct ShareClaim {
    index: usize,
    number: message::Number,
    now: ids::Timestamp,
}

impl ShareClaim {
    fn send_due(
        &self,
        claim: &mut account::Claim,
        workspace: &ids::WorkspaceId,
        others: &[ids::InstanceId],
        outbox: &mut Outbox,
    ) {
        let missing: Vec<_> = others.iter().filter(|id| !claim.permits.contains(*id)).collect();
        let is_last = missing.len() == 1;
        for id in missing {
            if self.is_due(claim.permit_requests.get(id), is_last) {
                let first =
                    claim.permit_requests.get(id).map_or(self.number, |sent| sent.first_number);
                let sent =
                    account::PermitRequest { first_number: first, sent_at: self.now, is_last };
                claim.permit_requests.insert(id.clone(), sent);
                self.add_to(outbox.entry(id.clone()).or_default(), workspace, is_last);
            }
        }
    }

    fn is_due(&self, sent: Option<&account::PermitRequest>, is_last: bool) -> bool {
        let retry = time::Duration::from_millis(constants::CLAIM_RETRY_MS);
        sent.is_none_or(|sent| sent.sent_at + retry <= self.now || (is_last && !sent.is_last))
    }

    fn add_to(
        &self,
        claims: &mut Vec<message::ClaimedShares>,
        workspace: &ids::WorkspaceId,
        is_last: bool,
    ) {
        let bit = 1 << self.index;
        let last_missing = if is_last { bit } else { 0 };
        match claims.last_mut().filter(|claimed| claimed.workspace == *workspace) {
            Some(claimed) => {
                claimed.shares |= bit;
                claimed.last_missing |= last_missing;
            }
            None => {
                let workspace = workspace.clone();
                claims.push(message::ClaimedShares { workspace, shares: bit, last_missing });
            }
        }
    }
}

fn update_claiming(share: &mut account::Share, wanted: bool) {
    match share {
        account::Share::Idle if wanted => {
            *share = account::Share::Claiming(account::Claim::default());
        }
        account::Share::Claiming(_) if !wanted => *share = account::Share::Idle,
        _ => {}
    }
}

fn complete_claim(
    account: &mut account::Account,
    index: usize,
    others: &[ids::InstanceId],
    now: ids::Timestamp,
) {
    let account::Share::Claiming(claim) = &mut account.shares[index] else { return };
    if !others.iter().all(|id| claim.permits.contains(id)) {
        // Another member may hold and use the share before this claim is complete.
        claim.handed_over = None;
        return;
    }
    // Without a handover, grants of the former holder may still be spent, up to its full capacity.
    let unknown = bucket::ShareBalance {
        level_microtokens: 0,
        outstanding_microtokens: account.bucket.share_capacity_microtokens(),
    };
    let balance = claim.handed_over.unwrap_or(unknown);
    account.shares[index] = account::Share::Held;
    account.bucket.add_share(balance, now);
}

fn hand_over(
    account: &mut account::Account,
    index: usize,
    now: ids::Timestamp,
) -> message::HandedShare {
    let balance = account.bucket.remove_share(now);
    account.shares[index] = account::Share::Idle;
    message::HandedShare {
        workspace: account.limit.workspace.clone(),
        share: index as u8,
        level_microtokens: balance.level_microtokens,
        outstanding_microtokens: balance.outstanding_microtokens,
    }
}

fn accept_permit(
    share: &mut account::Share,
    from: &ids::InstanceId,
    number: message::Number,
    balance: Option<bucket::ShareBalance>,
) {
    let account::Share::Claiming(claim) = share else { return };
    if claim.permit_requests.get(from).is_none_or(|sent| number < sent.first_number) {
        return;
    }
    if !claim.permits.insert(from.clone()) {
        return;
    }
    claim.handed_over = balance.or(claim.handed_over);
}

fn share_indices(mask: u8) -> impl Iterator<Item = usize> {
    (0..constants::SHARES).filter(move |index| mask & (1 << index) != 0)
}

fn join_offset(
    view: &membership::View,
    id: &ids::InstanceId,
    incarnation: ids::Incarnation,
) -> Option<ids::Offset> {
    let own = view.members.iter().find(|one| one.id == *id && one.incarnation == incarnation);
    own.map(|member| member.joined)
}
