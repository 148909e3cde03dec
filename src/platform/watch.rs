//! Follows the store's topics and tells the product of changes.

use std::net;
use std::rc;
use std::sync;
use std::time;

use crate::core::collections;
use crate::core::fleet;
use crate::core::fleet::catalog;
use crate::core::fleet::constants;
use crate::core::fleet::peers;
use crate::core::fleet::quota;
use crate::core::ids;
use crate::platform::configuration;
use crate::platform::entries;
use crate::platform::settings;
use crate::platform::store;
use crate::router::clock;
use crate::router::context;

/// The operator's topic and the key of the configuration.
const OPERATOR_TOPIC: &str = "keyed.op";
const CONFIGURATION_KEY: &[u8] = b"config";
/// The servers' topic.
const SERVERS_TOPIC: &str = "keyed.servers";
/// The topic in which instances announce themselves.
const MEMBERS_TOPIC: &str = "keyed.members";

/// The topic that keeps what workspaces have spent lately, and its only key.
const SPENDING_TOPIC: &str = "keyed.spending";
const SPENDING_KEY: &str = "fleet";

/// Tries to read past spending; after them the window has nearly passed.
const SPENDING_HISTORY_ATTEMPTS: u32 = 10;

/// How long a batch waits for a change of the configuration. A batch that a silent store holds
/// ends after this and the store's timeout; after an outage, configurations must be in force within
/// three seconds.
pub(crate) const CONFIGURATION_WAIT: time::Duration = time::Duration::from_millis(800);

/// How often server entries are read: twice within the time in which a leaving server must get
/// no more requests.
const SERVERS_INTERVAL: time::Duration = time::Duration::from_millis(700);

/// How often announcements of instances are read; peers tell each other sooner.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_millis(5_000);

/// How often it is checked whether peers still read the store.
const READER_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// The pause after a failed call.
pub(crate) const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Time without a batch after which removed entries count as lapsed: a heartbeat of the servers.
const OUTAGE_THRESHOLD: time::Duration = time::Duration::from_millis(2_500);

/// Starts to follow all topics.
pub fn start(node: &settings::Node, context: rc::Rc<context::Context>) {
    let address = node.platform.address;
    tokio::task::spawn_local(follow_configuration(address, rc::Rc::clone(&context)));
    tokio::task::spawn_local(follow_servers(address, rc::Rc::clone(&context)));
    tokio::task::spawn_local(maintain_spending_history(address, rc::Rc::clone(&context)));
    tokio::task::spawn_local(follow_members(address, context));
}

/// Where a topic is read next.
struct TopicReader {
    store: store::Store,
    topic: &'static str,
    next: Option<ids::Offset>,
    is_failing: bool,
}

/// What a batch has brought.
struct Batch {
    records: Vec<store::Record>,
    /// Whether it names the newest record of every key.
    is_complete: bool,
    next: ids::Offset,
}

impl TopicReader {
    fn new(address: net::SocketAddr, topic: &'static str) -> Self {
        Self { store: store::Store::new(address), topic, next: None, is_failing: false }
    }

    /// Reads on; `None` after a failure.
    async fn read(&mut self, wait: time::Duration) -> Option<Batch> {
        let result = match self.next {
            None => self.store.newest(self.topic).await,
            Some(from) => self.store.read(self.topic, from, wait).await,
        };
        match result {
            Ok(records) => {
                if std::mem::take(&mut self.is_failing) {
                    log::info!("the store's topic {} can be read again", self.topic);
                }
                let is_complete = self.next.is_none();
                self.next = Some(records.next);
                Some(Batch { records: records.records, is_complete, next: records.next })
            }
            Err(failure) => {
                if matches!(failure, store::StoreError::Deleted) {
                    self.next = None;
                } else if !std::mem::replace(&mut self.is_failing, true) {
                    log::warn!("the store's topic {} cannot be read: {failure}", self.topic);
                }
                None
            }
        }
    }
}

async fn follow_configuration(address: net::SocketAddr, context: rc::Rc<context::Context>) {
    let mut reader = TopicReader::new(address, OPERATOR_TOPIC);
    loop {
        wait_until(&context, |fleet, now| {
            fleet.should_read_store(now) || fleet.peer_with_newer_configuration(now).is_some()
        })
        .await;
        let Some(batch) = reader.read(CONFIGURATION_WAIT).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
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
                    let offset = record.offset;
                    log::warn!("the configuration at {offset} is not used: {failure}");
                }
            }
        }
    }
}

async fn follow_servers(address: net::SocketAddr, context: rc::Rc<context::Context>) {
    let mut reader = TopicReader::new(address, SERVERS_TOPIC);
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
        // A listing that ends before the last one is an old copy.
        let is_old = batch.is_complete && batch.next < context.servers_end_offset.get();
        if is_old {
            reader.next = None;
        } else {
            context.servers_end_offset.set(batch.next);
            apply_server_records(&context, batch, is_after_outage);
        }
        tokio::time::sleep(SERVERS_INTERVAL).await;
    }
}

/// Waits while enough peers read the store for all; returns whether it waited.
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

/// Waits until `is_due` says so; returns whether it waited.
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

fn apply_server_records(context: &context::Context, batch: Batch, is_after_outage: bool) {
    let names: collections::Set<_> = batch
        .records
        .iter()
        .filter(|record| record.value.is_some())
        .map(|record| record.key.clone())
        .collect();
    let changes: Vec<_> = batch
        .records
        .into_iter()
        .filter_map(|record| entries::listing(record.key, record.value.as_deref(), record.offset))
        .collect();
    if changes.is_empty() && !batch.is_complete {
        return;
    }
    let complete = batch.is_complete.then_some((names, batch.next));
    let sender_position = None;
    context.apply(fleet::Event::ServersChanged {
        changes,
        complete,
        is_after_outage,
        sender_position,
    });
}

async fn follow_members(address: net::SocketAddr, context: rc::Rc<context::Context>) {
    let mut reader = TopicReader::new(address, MEMBERS_TOPIC);
    let own = context.read(|fleet| fleet.store_record());
    announce(&mut reader.store, &own).await;
    let mut announced = collections::Map::default();
    loop {
        wait_until_reader(&context).await;
        if let Some(batch) = reader.read(time::Duration::ZERO).await {
            discover_members(&context, batch, &mut announced);
            remove_departed(&mut reader.store, &context, &mut announced).await;
        }
        tokio::time::sleep(MEMBERS_INTERVAL).await;
    }
}

/// Announced instances by name, and when that was read.
type Announced = collections::Map<String, (peers::Member, ids::Timestamp)>;

fn discover_members(context: &context::Context, batch: Batch, announced: &mut Announced) {
    let now = context.now();
    let mut members = Vec::new();
    for record in batch.records {
        let Some(value) = record.value else { continue };
        match serde_json::from_slice::<peers::Member>(&value) {
            Ok(member) => {
                announced.insert(member.name.clone(), (member.clone(), now));
                members.push(member);
            }
            Err(failure) => log::warn!("an announcement cannot be read: {failure}"),
        }
    }
    context.apply(fleet::Event::MembersDiscovered(members));
}

/// Removes the announcements of instances that are departed for good, or they would add up for ever.
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
        now >= read + constants::PEER_MEMORY
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
            // It is tried again after the next batch.
            Err(failure) => return log::debug!("{name} is still announced: {failure}"),
        }
    }
}

async fn announce(store: &mut store::Store, own: &peers::Member) {
    let value = match serde_json::to_vec(own) {
        Ok(value) => value,
        Err(failure) => {
            log::error!("this instance cannot be announced: {failure}");
            return;
        }
    };
    // A repeated announcement changes nothing.
    while let Err(failure) = store.append(MEMBERS_TOPIC, &own.name, &value).await {
        log::warn!("this instance is not announced yet: {failure}");
        tokio::time::sleep(RETRY_PAUSE * 4).await;
    }
}

/// What workspaces had spent when it was written.
#[derive(serde::Serialize, serde::Deserialize)]
struct SpendingRecord {
    written_ms: u64,
    spending: Vec<quota::Spending>,
}

/// Reads once what was spent before this instance started; writes it for the whole fleet.
async fn maintain_spending_history(address: net::SocketAddr, context: rc::Rc<context::Context>) {
    let mut store = store::Store::new(address);
    read_spending_history(&mut store, &context).await;
    let mut last = Vec::new();
    loop {
        tokio::time::sleep(constants::TOLD_EVERY).await;
        let now = context.now();
        if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
            continue;
        }
        if !context.read(|fleet| fleet.knows_history()) {
            read_spending_history(&mut store, &context).await;
            continue;
        }
        let spending = context.read(|fleet| fleet.spending(now));
        if spending.iter().all(|it| it.spent.is_empty()) && last.is_empty() {
            continue;
        }
        let record = SpendingRecord { written_ms: clock::unix_ms(), spending };
        match serde_json::to_vec(&record) {
            // The next record replaces one that was not written.
            Ok(value) => {
                if let Err(failure) = store.append(SPENDING_TOPIC, SPENDING_KEY, &value).await {
                    log::debug!("spending is not written: {failure}");
                }
            }
            Err(failure) => log::error!("spending cannot be written: {failure}"),
        }
        last = record.spending;
    }
}

/// Reads what was spent before this instance started, while it matters.
async fn read_spending_history(store: &mut store::Store, context: &context::Context) {
    for _ in 0..SPENDING_HISTORY_ATTEMPTS {
        if context.read(|fleet| fleet.knows_history()) {
            return;
        }
        match store.newest(SPENDING_TOPIC).await {
            Ok(records) => return apply_spending_history(context, &records.records),
            Err(failure) => log::warn!("past spending is not known yet: {failure}"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn apply_spending_history(context: &context::Context, records: &[store::Record]) {
    let Some(value) = records.iter().find_map(|record| record.value.as_ref()) else {
        // Spending is written as soon as there is some.
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
        Err(failure) => log::warn!("past spending cannot be read: {failure}"),
    }
}
