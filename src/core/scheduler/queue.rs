//! A queue of reservation requests for one phase of a server, fair over workspaces by tokens of
//! work.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) chooses the workspace. Within a workspace,
//! requests that can still meet the first-token target are served in the order of their deadlines,
//! before those that cannot. One in [`constants::OVERDUE_GRANT_INTERVAL`] grants goes to an overdue
//! request, so that none starves. A workspace may hold a multiple of the queue's free entries
//! (Choudhury and Hahne, "Dynamic queue length thresholds", 1998), so that no workspace can fill
//! the queue.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::collections;
use crate::core::ids;
use crate::core::scheduler::constants;
use crate::core::scheduler::message;

/// A client's incarnation and its ticket.
pub type Key = (ids::Incarnation, message::Ticket);

/// Units of virtual time for one token of work at weight 1.
const VIRTUAL_UNITS_PER_TOKEN: u64 = 1_024;

/// A queued reservation request.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The client's incarnation and ticket.
    pub key: Key,
    /// The instance that sent the request.
    pub client: ids::InstanceId,
    /// The lower half of the request id.
    pub sequence: u64,
    /// The workspace that the request is charged to.
    pub workspace: ids::WorkspaceId,
    /// The workspace's weight in fair queueing.
    pub weight: u32,
    /// Prompt tokens to prefill, or the most tokens to generate.
    pub work_tokens: u32,
    /// KV cache memory to reserve, in pieces.
    pub memory_pieces: u32,
    /// When the request arrived at its client, by this instance's clock; not before the clock's
    /// start.
    pub arrived: ids::Timestamp,
    /// The latest grant time with which the request can meet its first-token target.
    pub start_by: ids::Timestamp,
    /// When the client last sent the request.
    pub last_received: ids::Timestamp,
}

type Position = (ids::Timestamp, u64);

#[derive(Debug, Default)]
struct Flow {
    start_tag: u64,
    grants: u32,
    work_tokens: u64,
    on_time: BTreeMap<Position, Entry>,
    late: BTreeMap<Position, Entry>,
}

impl Flow {
    fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    fn demote_late(&mut self, now: ids::Timestamp) {
        while let Some(first) = self.on_time.first_entry() {
            if first.key().0 >= now {
                return;
            }
            let ((_, insertion_number), entry) = first.remove_entry();
            self.late.insert((entry.arrived, insertion_number), entry);
        }
    }

    fn head(&self, now: ids::Timestamp) -> Option<&Entry> {
        let overdue = self.late.values().next().filter(|entry| {
            entry.arrived + constants::OVERDUE_AGE <= now
                && self.grants.is_multiple_of(constants::OVERDUE_GRANT_INTERVAL)
        });
        overdue.or_else(|| self.on_time.values().next()).or_else(|| self.late.values().next())
    }
}

/// Where an entry is found in its flow.
#[derive(Debug, Clone)]
struct EntryIndex {
    workspace: ids::WorkspaceId,
    start_by: ids::Timestamp,
    arrived: ids::Timestamp,
    insertion_number: u64,
}

/// The queued requests for one phase of one server.
#[derive(Debug, Default)]
pub struct Queue {
    flows: collections::Map<ids::WorkspaceId, Flow>,
    backlogged: BTreeSet<(u64, ids::WorkspaceId)>,
    index: collections::Map<Key, EntryIndex>,
    virtual_time: u64,
    insertion_number: u64,
    work_tokens: u64,
}

impl Queue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns whether a request is queued.
    pub fn contains(&self, key: Key) -> bool {
        self.index.contains_key(&key)
    }

    /// Returns whether another request of a workspace may be queued.
    pub fn admits(&self, workspace: &ids::WorkspaceId) -> bool {
        let free = constants::MAX_QUEUE_ENTRIES.saturating_sub(self.len());
        let held = self.flows.get(workspace).map_or(0, Flow::len);
        free > 0 && held < constants::QUEUE_SHARE_FACTOR * free
    }

    /// Returns the work expected to be served before a new request of a workspace, in tokens.
    pub fn work_ahead_tokens(&self, workspace: &ids::WorkspaceId) -> u64 {
        let own = self.flows.get(workspace).map_or(0, |flow| flow.work_tokens);
        let flows = self.backlogged.len() as u64 + 1;
        self.work_tokens.min(own.saturating_mul(flows))
    }

    /// Returns the number of requests expected to be served before a new one of a workspace.
    pub fn requests_ahead(&self, workspace: &ids::WorkspaceId) -> usize {
        let own = self.flows.get(workspace).map_or(0, Flow::len);
        self.len().min((own + 1) * (self.backlogged.len() + 1))
    }

    /// Adds a request; [`Queue::admits`] must be true for its workspace.
    pub fn push(&mut self, entry: Entry) {
        self.insertion_number += 1;
        let flow = self.flows.entry(entry.workspace.clone()).or_default();
        if flow.len() == 0 {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.backlogged.insert((flow.start_tag, entry.workspace.clone()));
        }
        self.index.insert(
            entry.key,
            EntryIndex {
                workspace: entry.workspace.clone(),
                start_by: entry.start_by,
                arrived: entry.arrived,
                insertion_number: self.insertion_number,
            },
        );
        self.work_tokens += u64::from(entry.work_tokens);
        flow.work_tokens += u64::from(entry.work_tokens);
        flow.on_time.insert((entry.start_by, self.insertion_number), entry);
    }

    /// Records that a client still waits; returns `false` if the request is not queued.
    pub fn refresh(&mut self, key: Key, now: ids::Timestamp) -> bool {
        let Some(index) = self.index.get(&key) else { return false };
        let Some(flow) = self.flows.get_mut(&index.workspace) else { return false };
        let on_time = flow.on_time.get_mut(&(index.start_by, index.insertion_number));
        let entry = on_time.or_else(|| flow.late.get_mut(&(index.arrived, index.insertion_number)));
        if let Some(entry) = entry {
            entry.last_received = now;
        }
        true
    }

    /// Removes a request.
    pub fn remove(&mut self, key: Key) -> Option<Entry> {
        let index = self.index.remove(&key)?;
        let flow = self.flows.get_mut(&index.workspace)?;
        let on_time = flow.on_time.remove(&(index.start_by, index.insertion_number));
        let entry =
            on_time.or_else(|| flow.late.remove(&(index.arrived, index.insertion_number)))?;
        flow.work_tokens -= u64::from(entry.work_tokens);
        self.work_tokens -= u64::from(entry.work_tokens);
        if flow.len() == 0 {
            self.backlogged.remove(&(flow.start_tag, index.workspace));
            self.end_busy_period();
        }
        Some(entry)
    }

    /// Removes and returns the next request that `fits` accepts.
    pub fn pop(&mut self, now: ids::Timestamp, fits: impl Fn(&Entry) -> bool) -> Option<Entry> {
        let key = self.next_key(now, fits)?;
        let workspace = self.index.get(&key)?.workspace.clone();
        let entry = self.remove(key)?;
        let Some(flow) = self.flows.get_mut(&workspace) else { return Some(entry) };
        self.backlogged.remove(&(flow.start_tag, workspace.clone()));
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        flow.grants = flow.grants.wrapping_add(1);
        flow.start_tag += virtual_units(entry.work_tokens, entry.weight);
        if flow.len() > 0 {
            self.backlogged.insert((flow.start_tag, workspace));
        }
        Some(entry)
    }

    /// Removes and returns the requests that `matches` accepts.
    pub fn remove_where(&mut self, matches: impl Fn(&Entry) -> bool) -> Vec<Entry> {
        let entries = self.flows.values().flat_map(|f| f.on_time.values().chain(f.late.values()));
        let keys: Vec<_> = entries.filter(|entry| matches(entry)).map(|entry| entry.key).collect();
        keys.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    /// Resets all flows when the queue is empty and there are many. The start tags of a few flows
    /// are kept, so that a queue that is empty for a moment does not reset the service that a
    /// workspace already received.
    fn end_busy_period(&mut self) {
        if self.index.is_empty() && self.flows.len() > constants::MAX_IDLE_FLOWS {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }

    fn next_key(&mut self, now: ids::Timestamp, fits: impl Fn(&Entry) -> bool) -> Option<Key> {
        for (_, workspace) in self.backlogged.iter().take(constants::MAX_BYPASS_FLOWS) {
            let flow = self.flows.get_mut(workspace)?;
            flow.demote_late(now);
            let head = flow.head(now)?;
            if fits(head) {
                return Some(head.key);
            }
            if head.arrived + constants::MAX_BYPASS_AGE <= now {
                return None;
            }
        }
        None
    }
}

fn virtual_units(work_tokens: u32, weight: u32) -> u64 {
    u64::from(work_tokens.max(1)) * VIRTUAL_UNITS_PER_TOKEN / u64::from(weight.max(1))
}
