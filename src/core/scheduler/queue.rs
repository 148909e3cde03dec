//! Queues the requests for one server fairly over workspaces by tokens of work.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) chooses the workspace. Inside a workspace
//! requests that can still meet the first-token target go in the order of their deadline, before
//! those that cannot; a request over the age bound takes every fourth turn, so none starves. A
//! workspace may hold a multiple of the queue's free part (Choudhury and Hahne, "Dynamic queue
//! length thresholds", 1998), so that none fills the queue for others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::collections;
use crate::core::ids;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;

/// The client's incarnation and its number for an ask.
pub type Key = (ids::Incarnation, message::Ticket);

/// The scale of virtual time: units for one token of work at weight 1.
const VIRTUAL_UNITS_PER_TOKEN: u64 = 1_024;

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Who waits.
    pub key: Key,
    /// The instance to answer to.
    pub client: ids::InstanceId,
    /// The lower half of the request id.
    pub sequence: u64,
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// The workspace's weight.
    pub weight: u32,
    /// The work, in tokens.
    pub work_tokens: u32,
    /// Pieces of engine memory.
    pub memory_pieces: u32,
    /// When the request came to its entry instance, as far as this instance's clock goes back.
    pub arrived: ids::Timestamp,
    /// Until when the request must start to meet its target.
    pub start_by: ids::Timestamp,
    /// When the client was last heard of.
    pub heard: ids::Timestamp,
}

type Position = (ids::Timestamp, u64);

#[derive(Debug, Default)]
struct Flow {
    tag: u64,
    turns: u32,
    work_tokens: u64,
    on_time: BTreeMap<Position, Entry>,
    late: BTreeMap<Position, Entry>,
}

impl Flow {
    fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    fn demote(&mut self, now: ids::Timestamp) {
        while let Some(first) = self.on_time.first_entry() {
            if first.key().0 >= now {
                return;
            }
            let ((_, order), entry) = first.remove_entry();
            self.late.insert((entry.arrived, order), entry);
        }
    }

    fn head(&self, now: ids::Timestamp) -> Option<&Entry> {
        let aged = self.late.values().next().filter(|entry| {
            entry.arrived + constants::AGE_BOUND <= now
                && self.turns.is_multiple_of(constants::AGED_TURN)
        });
        aged.or_else(|| self.on_time.values().next()).or_else(|| self.late.values().next())
    }
}

/// Where an entry stands.
#[derive(Debug, Clone)]
struct Index {
    workspace: ids::WorkspaceId,
    start_by: ids::Timestamp,
    arrived: ids::Timestamp,
    order: u64,
}

/// The waiting requests of one server and phase.
#[derive(Debug, Default)]
pub struct Queue {
    flows: collections::Map<ids::WorkspaceId, Flow>,
    backlog: BTreeSet<(u64, ids::WorkspaceId)>,
    index: collections::Map<Key, Index>,
    virtual_time: u64,
    order: u64,
    work_tokens: u64,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns whether a request waits here.
    pub fn contains(&self, key: Key) -> bool {
        self.index.contains_key(&key)
    }

    /// Returns whether a request of the workspace may enter.
    pub fn admits(&self, workspace: &ids::WorkspaceId) -> bool {
        let free = constants::QUEUE_ENTRIES.saturating_sub(self.len());
        let held = self.flows.get(workspace).map_or(0, Flow::len);
        free > 0 && held < constants::QUEUE_SHARE_OF_FREE * free
    }

    /// Returns the work that is expected to be served before a new request of the workspace.
    pub fn work_ahead_tokens(&self, workspace: &ids::WorkspaceId) -> u64 {
        let own = self.flows.get(workspace).map_or(0, |flow| flow.work_tokens);
        let flows = self.backlog.len() as u64 + 1;
        self.work_tokens.min(own.saturating_mul(flows))
    }

    /// Returns the requests that are expected to be served before a new one of the workspace.
    pub fn ahead(&self, workspace: &ids::WorkspaceId) -> usize {
        let own = self.flows.get(workspace).map_or(0, Flow::len);
        self.len().min((own + 1) * (self.backlog.len() + 1))
    }

    /// Adds a request that [`Queue::admits`].
    pub fn push(&mut self, entry: Entry) {
        self.order += 1;
        let flow = self.flows.entry(entry.workspace.clone()).or_default();
        if flow.len() == 0 {
            flow.tag = flow.tag.max(self.virtual_time);
            self.backlog.insert((flow.tag, entry.workspace.clone()));
        }
        self.index.insert(
            entry.key,
            Index {
                workspace: entry.workspace.clone(),
                start_by: entry.start_by,
                arrived: entry.arrived,
                order: self.order,
            },
        );
        self.work_tokens += u64::from(entry.work_tokens);
        flow.work_tokens += u64::from(entry.work_tokens);
        flow.on_time.insert((entry.start_by, self.order), entry);
    }

    /// Notes that a client still waits; `false` if the request is not queued.
    pub fn refresh(&mut self, key: Key, now: ids::Timestamp) -> bool {
        let Some(index) = self.index.get(&key) else { return false };
        let Some(flow) = self.flows.get_mut(&index.workspace) else { return false };
        let on_time = flow.on_time.get_mut(&(index.start_by, index.order));
        let entry = on_time.or_else(|| flow.late.get_mut(&(index.arrived, index.order)));
        if let Some(entry) = entry {
            entry.heard = now;
        }
        true
    }

    /// Removes a request.
    pub fn remove(&mut self, key: Key) -> Option<Entry> {
        let index = self.index.remove(&key)?;
        let flow = self.flows.get_mut(&index.workspace)?;
        let on_time = flow.on_time.remove(&(index.start_by, index.order));
        let entry = on_time.or_else(|| flow.late.remove(&(index.arrived, index.order)))?;
        flow.work_tokens -= u64::from(entry.work_tokens);
        self.work_tokens -= u64::from(entry.work_tokens);
        if flow.len() == 0 {
            self.backlog.remove(&(flow.tag, index.workspace));
            self.end_busy_period();
        }
        Some(entry)
    }

    /// Takes out the next request that `fits`.
    pub fn pop(&mut self, now: ids::Timestamp, fits: impl Fn(&Entry) -> bool) -> Option<Entry> {
        let key = self.next(now, fits)?;
        let workspace = self.index.get(&key)?.workspace.clone();
        let entry = self.remove(key)?;
        let Some(flow) = self.flows.get_mut(&workspace) else { return Some(entry) };
        self.backlog.remove(&(flow.tag, workspace.clone()));
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.turns = flow.turns.wrapping_add(1);
        flow.tag += virtual_units(entry.work_tokens, entry.weight);
        if flow.len() > 0 {
            self.backlog.insert((flow.tag, workspace));
        }
        Some(entry)
    }

    /// Removes the requests that `gone` names.
    pub fn remove_where(&mut self, gone: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        let entries = self.flows.values().flat_map(|f| f.on_time.values().chain(f.late.values()));
        let keys: Vec<_> = entries.filter(|entry| gone(entry)).map(|entry| entry.key).collect();
        keys.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Forgets what many workspaces were given once nothing waits. Few are remembered, so that a
    /// queue that runs empty for a moment does not forgive what one was given before.
    fn end_busy_period(&mut self) {
        if self.index.is_empty() && self.flows.len() > constants::QUEUE_IDLE_FLOWS {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }

    fn next(&mut self, now: ids::Timestamp, fits: impl Fn(&Entry) -> bool) -> Option<Key> {
        for (_, workspace) in self.backlog.iter().take(constants::BYPASS_FLOWS) {
            let flow = self.flows.get_mut(workspace)?;
            flow.demote(now);
            let head = flow.head(now)?;
            if fits(head) {
                return Some(head.key);
            }
            if head.arrived + constants::BYPASS_AGE <= now {
                return None;
            }
        }
        None
    }
}

fn virtual_units(work_tokens: u32, weight: u32) -> u64 {
    u64::from(work_tokens.max(1)) * VIRTUAL_UNITS_PER_TOKEN / u64::from(weight.max(1))
}
