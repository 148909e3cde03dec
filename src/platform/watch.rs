//! Follows the store's topics and applies their changes to the fleet state.

use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::evacuation;
use crate::core::fleet::peers;
use crate::core::fleet::quota;
use crate::core::fleet::servers;
use crate::core::ids;
use crate::platform::breaker;
use crate::platform::configuration;
use crate::platform::entries;
use crate::platform::keeper;
use crate::platform::origins;
use crate::platform::quarantines;
use crate::platform::settings;
use crate::platform::store;
use crate::router::clock;
use crate::router::context;

/// The operator's topic, the key of the configuration in it, and the prefix of the keys that evacuate
/// failure domains.
const OPERATOR_TOPIC: &str = "keyed.op";
const CONFIGURATION_KEY: &[u8] = b"config";
const EVACUATION_PREFIX: &[u8] = b"evacuate/";
/// The topic with the entries of backend servers.
const SERVERS_TOPIC: &str = "keyed.servers";
/// The topic in which instances are announced.
const MEMBERS_TOPIC: &str = "keyed.members";

/// The topic with the recent spending of workspaces, and its only key.
const SPENDING_TOPIC: &str = "keyed.spending";
const SPENDING_KEY: &str = "fleet";

/// Attempts to read the spending history; after these, most of the quota window has passed.
const SPENDING_HISTORY_ATTEMPTS: u32 = 10;

/// How long a read waits for a change of the configuration. A read from an unresponsive store ends
/// after this wait plus the store's timeout; after an outage, configurations must be in force
/// within three seconds.
pub(crate) const CONFIGURATION_WAIT: time::Duration = time::Duration::from_millis(800);

/// How often server entries are read: twice within the time after which a draining server must not
/// receive requests any more.
const SERVERS_INTERVAL: time::Duration = time::Duration::from_millis(700);

/// How often announcements of instances are read; digests of peers arrive sooner.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_millis(5_000);

/// How often an instance that leaves reading to peers checks whether they still read the store.
const READER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The delay after a failed call to the store.
pub(crate) const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);

/// The time without a read after which removed entries count as expired: one heartbeat interval of
/// the servers.
const OUTAGE_THRESHOLD: time::Duration = time::Duration::from_millis(2_500);

/// Starts the tasks that follow the store's topics.
pub fn start(node: &settings::Node, context: rc::Rc<context::Context>) {
    let address = node.platform.address;
    let breaker = breaker::Breaker::new();
    let new_store = || store::Store::new(address, rc::Rc::clone(&breaker));
    let bounded = || store::Store::new_for_bounded_reads(address, rc::Rc::clone(&breaker));
    tokio::task::spawn_local(follow_configuration(bounded(), rc::Rc::clone(&context)));
    tokio::task::spawn_local(follow_servers(bounded(), rc::Rc::clone(&context)));
    tokio::task::spawn_local(maintain_spending_history(new_store(), rc::Rc::clone(&context)));
    origins::start(new_store, &context);
    quarantines::start(new_store(), &context);
    tokio::task::spawn_local(follow_members(new_store(), rc::Rc::clone(&context)));
    tokio::task::spawn_local(watch_for_recovery(breaker, node.has_other_seeds(), context));
}

/// Probes a store that failed as soon as a peer has a newer configuration, which shows that the store
/// answers again. Seeds and coordinators probe more often, as the others learn it from them.
async fn watch_for_recovery(
    breaker: rc::Rc<breaker::Breaker>,
    has_other_seeds: bool,
    context: rc::Rc<context::Context>,
) {
    let mut probed_for = 0;
    loop {
        tokio::time::sleep(READER_CHECK_INTERVAL).await;
        let now = context.now();
        let is_coordinator = context.read(|fleet| fleet.is_coordinator());
        breaker.set_notified_by_peers(has_other_seeds && !is_coordinator);
        let newest = context.read(|fleet| fleet.newest_peer_version(now));
        if newest > probed_for && newest > context.read(|fleet| fleet.version()) {
            probed_for = newest;
            breaker.probe_now();
        }
    }
}

/// Reads a topic: first the newest record of every key, then all later records.
struct TopicReader {
    store: store::Store,
    topic: &'static str,
    /// The offset of the next read; `None` if the newest records are to be read.
    next: Option<ids::Offset>,
    /// The era of the store at the last successful read.
    era: Option<u64>,
    /// Whether a failure was logged since the last successful read; further ones are not logged.
    is_failing: bool,
}

/// The records that a read has returned.
struct Batch {
    records: Vec<store::Record>,
    /// Whether it has the newest record of every key.
    is_complete: bool,
    /// Whether the store was restored from a copy since the batch before.
    is_restored: bool,
    /// The position after the last record.
    next: ids::StorePosition,
}

impl TopicReader {
    fn new(store: store::Store, topic: &'static str) -> Self {
        Self { store, topic, next: None, era: None, is_failing: false }
    }

    /// Reads the next records; returns `None` after a failure.
    async fn read(&mut self, wait: time::Duration) -> Option<Batch> {
        let result = match self.next {
            None => self.store.newest(self.topic).await,
            Some(from) => self.store.read(self.topic, from, wait).await,
        };
        match result {
            Ok(records) => {
                if std::mem::take(&mut self.is_failing) {
                    log::info!("topic {} of the store is readable again", self.topic);
                }
                let is_listing = self.next.is_none();
                let is_restored = self.era.is_some_and(|era| era < records.era);
                if is_restored && !is_listing {
                    // The offset belongs to the era before: read everything anew.
                    self.next = None;
                    return None;
                }
                if is_restored {
                    let (topic, era, before) = (self.topic, records.era, self.era);
                    log::warn!(
                        "the store was restored: topic {topic} is read anew in era {era} from offset {}, after era {before:?}",
                        records.next
                    );
                    metrics::counter!("store_restores_total", "topic" => topic).increment(1);
                }
                metrics::gauge!("store_era").set(records.era as f64);
                self.era = Some(records.era);
                self.next = Some(records.next);
                let next = ids::store_position(records.era, records.next);
                let store::Records { records, is_complete, .. } = records;
                Some(Batch { records, is_complete, is_restored, next })
            }
            Err(failure) => {
                if matches!(failure, store::StoreError::Deleted { .. }) {
                    self.next = None;
                } else if matches!(failure, store::StoreError::Truncated { .. }) {
                    // The record may be a later change of any key, which a listing contains.
                    log::warn!("listing topic {} again: {failure}", self.topic);
                    self.next = None;
                } else if !std::mem::replace(&mut self.is_failing, true) {
                    log::warn!("cannot read topic {} of the store: {failure}", self.topic);
                }
                None
            }
        }
    }
}

async fn follow_configuration(store: store::Store, context: rc::Rc<context::Context>) {
    let mut reader = TopicReader::new(store, OPERATOR_TOPIC);
    loop {
        wait_until(&context, fleet::Fleet::should_read_configuration).await;
        let Some(batch) = reader.read(CONFIGURATION_WAIT).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let is_first = batch.is_complete;
        // An instance that has a configuration sends requests, so evacuations come first.
        let complete = batch.is_complete.then_some(batch.next);
        if let Some(event) = evacuations(&batch.records, complete, batch.is_restored) {
            context.apply(event);
        }
        for record in batch.records {
            if record.key != CONFIGURATION_KEY {
                continue;
            }
            let Some(value) = record.value else { continue };
            match configuration::read(&value) {
                Ok(content) => {
                    let catalog = sync::Arc::new(catalog::Catalog::new(content));
                    context.apply(fleet::Event::Configured(catalog));
                }
                Err(failure) => {
                    let position = record.position;
                    log::warn!("ignoring the invalid configuration at {position}: {failure}");
                }
            }
        }
        if is_first {
            // Meanwhile it turns out which instances read the store for all.
            tokio::time::sleep(SERVERS_INTERVAL).await;
        }
    }
}

/// Returns the event with the evacuations in records of the operator's topic, unless there is nothing
/// new. `complete` is the position after a listing of the newest record of each key.
pub(crate) fn evacuations(
    records: &[store::Record],
    complete: Option<ids::StorePosition>,
    is_restored: bool,
) -> Option<fleet::Event> {
    let changes: Vec<_> = records.iter().filter_map(evacuation_change).collect();
    if changes.is_empty() && complete.is_none() {
        return None;
    }
    let source = if is_restored { servers::Source::Restored } else { servers::Source::Steady };
    Some(fleet::Event::EvacuationsRead { changes, complete, source })
}

/// Reads a record that evacuates a failure domain, with any value, or lifts that, without one.
fn evacuation_change(record: &store::Record) -> Option<evacuation::Change> {
    let domain = record.key.strip_prefix(EVACUATION_PREFIX)?;
    let position = record.position;
    match std::str::from_utf8(domain) {
        Ok(domain) if !domain.is_empty() => Some(evacuation::Change {
            domain: domain.to_string(),
            position,
            is_in_force: record.value.is_some(),
        }),
        _ => {
            let key = String::from_utf8_lossy(&record.key);
            log::warn!("ignoring the evacuation {key:?} at {position}: it names no domain");
            None
        }
    }
}

async fn follow_servers(store: store::Store, context: rc::Rc<context::Context>) {
    let mut reader = TopicReader::new(store, SERVERS_TOPIC);
    loop {
        if wait_until_reader(&context).await {
            context.store_read_at.set(None);
        }
        let batch = reader.read(time::Duration::ZERO).await;
        context.read(|fleet| fleet.set_reads_store(batch.is_some()));
        let Some(batch) = batch else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let now = context.now();
        let last = context.store_read_at.replace(Some(now));
        let is_after_outage = last.is_some_and(|last| now.saturating_sub(last) > OUTAGE_THRESHOLD);
        let source = match (batch.is_restored, is_after_outage) {
            (true, _) => servers::Source::Restored,
            (false, true) => servers::Source::AfterOutage,
            (false, false) => servers::Source::Steady,
        };
        // A complete listing that ends before the last known position is outdated.
        let is_old = batch.is_complete && batch.next < context.servers_end.get();
        if is_old {
            reader.next = None;
        } else {
            context.servers_end.set(batch.next);
            apply_server_records(&context, batch, source);
        }
        tokio::time::sleep(SERVERS_INTERVAL).await;
    }
}

/// Waits while enough peers read the store for the whole fleet; returns whether it had to wait.
async fn wait_until_reader(context: &context::Context) -> bool {
    let has_waited = wait_until(context, |fleet, now| {
        let is_reader = fleet.should_read_store(now);
        if !is_reader {
            fleet.set_reads_store(false);
        }
        is_reader
    });
    has_waited.await
}

/// Waits until `is_due` returns true; returns whether it had to wait.
async fn wait_until<F>(context: &context::Context, mut is_due: F) -> bool
where
    F: FnMut(&mut fleet::Fleet, ids::Timestamp) -> bool,
{
    let mut has_waited = false;
    loop {
        let now = context.now();
        if context.read(|fleet| is_due(fleet, now)) {
            return has_waited;
        }
        has_waited = true;
        tokio::time::sleep(READER_CHECK_INTERVAL).await;
    }
}

/// Applies records of the servers' topic to the fleet state.
fn apply_server_records(context: &context::Context, batch: Batch, source: servers::Source) {
    let names: collections::Set<_> = batch
        .records
        .iter()
        .filter(|record| record.value.is_some())
        .map(|record| record.key.clone())
        .collect();
    let changes: Vec<_> = batch
        .records
        .into_iter()
        .filter_map(|record| entries::listing(record.key, record.value.as_deref(), record.position))
        .collect();
    if changes.is_empty() && !batch.is_complete {
        return;
    }
    let complete = batch.is_complete.then_some((names, batch.next));
    let sender_position = None;
    context.apply(fleet::Event::ServersChanged { changes, complete, source, sender_position });
}

async fn follow_members(store: store::Store, context: rc::Rc<context::Context>) {
    let mut reader = TopicReader::new(store, MEMBERS_TOPIC);
    let own = context.read(|fleet| fleet.store_record());
    announce(&mut reader.store, &own).await;
    let mut announced = collections::Map::default();
    loop {
        wait_until(&context, |fleet, now| fleet.should_list_members(now)).await;
        if let Some(batch) = reader.read(time::Duration::ZERO).await {
            if batch.is_restored {
                // The copy may lack the announcement.
                announce(&mut reader.store, &own).await;
            }
            discover_members(&context, batch, &mut announced);
            remove_departed(&mut reader.store, &context, &mut announced).await;
        }
        tokio::time::sleep(MEMBERS_INTERVAL).await;
    }
}

/// Announced instances by name, with the time when the announcement was read.
type Announced = collections::Map<String, (peers::Member, ids::Timestamp)>;

/// Passes newly read announcements to the fleet state and notes when they were read.
fn discover_members(context: &context::Context, batch: Batch, announced: &mut Announced) {
    let now = context.now();
    let mut members = Vec::new();
    for member in batch.records.iter().filter_map(announcement) {
        announced.insert(member.name.clone(), (member.clone(), now));
        members.push(member);
    }
    context.apply(fleet::Event::MembersDiscovered(members));
}

/// Reads the announcement of an instance, which it writes under its own name.
fn announcement(record: &store::Record) -> Option<peers::Member> {
    let value = record.value.as_deref()?;
    let key = String::from_utf8_lossy(&record.key);
    match serde_json::from_slice::<peers::Member>(value) {
        Ok(member) if member.name.as_bytes() == record.key => Some(member),
        Ok(member) => {
            log::warn!("ignoring the announcement {key:?}: it names instance {:?}", member.name);
            None
        }
        Err(failure) => {
            log::warn!("ignoring the invalid announcement {key:?}: {failure}");
            None
        }
    }
}

/// Removes the announcements of instances that have departed for good; otherwise they would
/// accumulate.
async fn remove_departed(
    store: &mut store::Store,
    context: &context::Context,
    announced: &mut Announced,
) {
    let now = context.now();
    if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
        return;
    }
    let has_departed = |member: &peers::Member, read: ids::Timestamp| {
        now >= read + constants::PEER_RETENTION
            && !context.read(|fleet| fleet.remembers_member(member))
    };
    let departed: Vec<_> = announced
        .iter()
        .filter(|(_, (member, read))| has_departed(member, *read))
        .map(|(name, _)| name.clone())
        .collect();
    for name in departed {
        match store.append(MEMBERS_TOPIC, &name, &[]).await {
            Ok(()) => {
                announced.remove(&name);
            }
            // The removal is repeated after the next read.
            Err(failure) => return log::debug!("announcement of {name} not removed: {failure}"),
        }
    }
}

/// Announces this instance in the store; repeats this until it succeeds.
async fn announce(store: &mut store::Store, own: &peers::Member) {
    let value = match serde_json::to_vec(own) {
        Ok(value) => value,
        Err(failure) => {
            log::error!("cannot encode the announcement of this instance: {failure}");
            return;
        }
    };
    // Announcing an instance twice has no further effect.
    while let Err(failure) = store.append(MEMBERS_TOPIC, &own.name, &value).await {
        log::warn!("cannot announce this instance yet, retrying: {failure}");
        tokio::time::sleep(RETRY_PAUSE * 4).await;
    }
}

/// The stored spending of workspaces, and when it was written, in milliseconds since the Unix
/// epoch.
#[derive(serde::Serialize, serde::Deserialize)]
struct SpendingRecord {
    written_ms: u64,
    spending: Vec<quota::Spending>,
}

/// Reads the spending history; then, while this instance is the limit coordinator, writes the
/// fleet's spending to the store.
async fn maintain_spending_history(store: store::Store, context: rc::Rc<context::Context>) {
    let mut keeper = keeper::Keeper::new(store, SPENDING_TOPIC, SPENDING_KEY);
    read_spending_history(&mut keeper, &context).await;
    let mut last = Vec::new();
    loop {
        tokio::time::sleep(constants::SPENDING_WRITE_INTERVAL).await;
        let now = context.now();
        if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
            continue;
        }
        if !context.read(|fleet| fleet.knows_history()) {
            read_spending_history(&mut keeper, &context).await;
            continue;
        }
        let spending = context.read(|fleet| fleet.spending(now));
        if spending.iter().all(|it| it.spent.is_empty()) && last.is_empty() {
            continue;
        }
        let record = SpendingRecord { written_ms: clock::unix_ms(), spending };
        match serde_json::to_vec(&record) {
            // After a failure, the next record replaces the one that was not written.
            Ok(value) => {
                if let Err(failure) = keeper.replace(&value).await {
                    log::debug!("cannot write the spending to the store: {failure}");
                }
            }
            Err(failure) => log::error!("cannot encode the spending: {failure}"),
        }
        last = record.spending;
    }
}

/// Reads what was spent before this instance started; gives up after a number of attempts.
async fn read_spending_history(keeper: &mut keeper::Keeper, context: &context::Context) {
    for _ in 0..SPENDING_HISTORY_ATTEMPTS {
        if context.read(|fleet| fleet.knows_history()) {
            return;
        }
        match keeper.read().await {
            Ok(value) => return apply_spending_history(context, value.as_ref()),
            Err(failure) => log::warn!("cannot read the spending history yet: {failure}"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Applies the stored spending, with ages increased by the time since it was written.
fn apply_spending_history(context: &context::Context, value: Option<&Bytes>) {
    let Some(value) = value else {
        // Spending is stored as soon as there is any, so none means no history.
        return context.apply(fleet::Event::SpendingHistory(Vec::new()));
    };
    match serde_json::from_slice::<SpendingRecord>(value) {
        Ok(mut record) => {
            let passed_ms = clock::unix_ms().saturating_sub(record.written_ms);
            for spending in &mut record.spending {
                for (age_ms, _) in &mut spending.spent {
                    *age_ms = age_ms.saturating_add(passed_ms);
                }
            }
            context.apply(fleet::Event::SpendingHistory(record.spending));
        }
        Err(failure) => log::warn!("ignoring an invalid spending history: {failure}"),
    }
}

#[cfg(test)]
mod tests;
