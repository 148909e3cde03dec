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
const PAST_TRIES: u32 = 10;

/// How long a reading waits for a change of the configuration. A reading that a silent store holds
/// ends after this and the store's timeout; after an outage, configurations must be in force within
/// three seconds.
pub(crate) const CONFIGURATION_WAIT: time::Duration = time::Duration::from_millis(800);

/// How often server entries are read: twice within the time in which a leaving server must get
/// no more requests.
const SERVERS_INTERVAL: time::Duration = time::Duration::from_millis(700);

/// How often announcements of instances are read; peers tell each other sooner.
const MEMBERS_INTERVAL: time::Duration = time::Duration::from_millis(5_000);

/// How often it is checked whether peers still read the store.
const READER_CHECK: time::Duration = time::Duration::from_millis(200);

/// The pause after a failed call.
pub(crate) const RETRY_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Time without a reading after which removed entries count as lapsed: a heartbeat of the servers.
const OUTAGE: time::Duration = time::Duration::from_millis(2_500);

/// Starts to follow all topics.
pub fn start(node: &settings::Node, context: rc::Rc<context::Context>) {
    let address = node.platform.address;
    tokio::task::spawn_local(follow_configuration(address, rc::Rc::clone(&context)));
    tokio::task::spawn_local(follow_servers(address, rc::Rc::clone(&context)));
    tokio::task::spawn_local(keep_spending(address, rc::Rc::clone(&context)));
    tokio::task::spawn_local(follow_members(address, context));
}

/// Where a topic is read next.
struct Follower {
    store: store::Store,
    topic: &'static str,
    next: Option<ids::Offset>,
    is_lost: bool,
}

/// What a reading has brought.
struct Reading {
    records: Vec<store::Record>,
    /// Whether it names the newest record of every key.
    is_complete: bool,
    next: ids::Offset,
}

impl Follower {
    fn new(address: net::SocketAddr, topic: &'static str) -> Self {
        Self { store: store::Store::new(address), topic, next: None, is_lost: false }
    }

    /// Reads on; `None` after a failure.
    async fn read(&mut self, wait: time::Duration) -> Option<Reading> {
        let result = match self.next {
            None => self.store.newest(self.topic).await,
            Some(from) => self.store.read(self.topic, from, wait).await,
        };
        match result {
            Ok(records) => {
                if std::mem::take(&mut self.is_lost) {
                    log::info!("the store's topic {} can be read again", self.topic);
                }
                let is_complete = self.next.is_none();
                self.next = Some(records.next);
                Some(Reading { records: records.records, is_complete, next: records.next })
            }
            Err(failure) => {
                if matches!(failure, store::StoreError::Deleted) {
                    self.next = None;
                } else if !std::mem::replace(&mut self.is_lost, true) {
                    log::warn!("the store's topic {} cannot be read: {failure}", self.topic);
                }
                None
            }
        }
    }
}

async fn follow_configuration(address: net::SocketAddr, context: rc::Rc<context::Context>) {
    let mut follower = Follower::new(address, OPERATOR_TOPIC);
    loop {
        await_turn(&context, |fleet, now| {
            fleet.should_read_store(now) || fleet.peer_with_newer_configuration(now).is_some()
        })
        .await;
        let Some(reading) = follower.read(CONFIGURATION_WAIT).await else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        for record in reading.records {
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
    let mut follower = Follower::new(address, SERVERS_TOPIC);
    loop {
        if leave_to_others(&context).await {
            context.store_read.set(None);
        }
        let reading = follower.read(time::Duration::ZERO).await;
        context.read(|fleet| fleet.set_reads_store(reading.is_some()));
        let Some(reading) = reading else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let now = context.now();
        let last = context.store_read.replace(Some(now));
        let is_after_outage = last.is_some_and(|last| now.saturating_sub(last) > OUTAGE);
        // A listing that ends before the last one is an old copy.
        let is_old = reading.is_complete && reading.next < context.servers_end.get();
        if is_old {
            follower.next = None;
        } else {
            context.servers_end.set(reading.next);
            tell_servers(&context, reading, is_after_outage);
        }
        tokio::time::sleep(SERVERS_INTERVAL).await;
    }
}

/// Waits while enough peers read the store for all; returns whether it waited.
async fn leave_to_others(context: &context::Context) -> bool {
    let has_waited = await_turn(context, |fleet, now| {
        let is_reader = fleet.should_read_store(now);
        if !is_reader {
            fleet.set_reads_store(false);
        }
        is_reader
    });
    has_waited.await
}

/// Waits until `is_turn` says so; returns whether it waited.
async fn await_turn<F>(context: &context::Context, mut is_turn: F) -> bool
where
    F: FnMut(&mut fleet::Fleet, ids::Timestamp) -> bool,
{
    let mut has_waited = false;
    loop {
        let now = context.now();
        if context.read(|fleet| is_turn(fleet, now)) {
            return has_waited;
        }
        has_waited = true;
        tokio::time::sleep(READER_CHECK).await;
    }
}

fn tell_servers(context: &context::Context, reading: Reading, is_after_outage: bool) {
    let names: collections::Set<_> = reading
        .records
        .iter()
        .filter(|record| record.value.is_some())
        .map(|record| record.key.clone())
        .collect();
    let changes: Vec<_> = reading
        .records
        .into_iter()
        .filter_map(|record| entries::listing(record.key, record.value.as_deref(), record.offset))
        .collect();
    if changes.is_empty() && !reading.is_complete {
        return;
    }
    let complete = reading.is_complete.then_some((names, reading.next));
    let sender_position = None;
    context.apply(fleet::Event::ServersChanged {
        changes,
        complete,
        is_after_outage,
        sender_position,
    });
}

async fn follow_members(address: net::SocketAddr, context: rc::Rc<context::Context>) {
    let mut follower = Follower::new(address, MEMBERS_TOPIC);
    let own = context.read(|fleet| fleet.store_record());
    announce(&mut follower.store, &own).await;
    let mut announced = collections::Map::default();
    loop {
        leave_to_others(&context).await;
        if let Some(reading) = follower.read(time::Duration::ZERO).await {
            introduce(&context, reading, &mut announced);
            remove_gone(&mut follower.store, &context, &mut announced).await;
        }
        tokio::time::sleep(MEMBERS_INTERVAL).await;
    }
}

/// Announced instances by name, and when that was read.
type Announced = collections::Map<String, (peers::Member, ids::Timestamp)>;

fn introduce(context: &context::Context, reading: Reading, announced: &mut Announced) {
    let now = context.now();
    let mut members = Vec::new();
    for record in reading.records {
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

/// Removes the announcements of instances that are gone for good, or they would add up for ever.
async fn remove_gone(
    store: &mut store::Store,
    context: &context::Context,
    announced: &mut Announced,
) {
    let now = context.now();
    if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
        return;
    }
    let is_gone = |member: &peers::Member, read: ids::Timestamp| {
        now >= read + constants::PEER_MEMORY
            && !context.read(|fleet| fleet.remembers_member(member))
    };
    let gone: Vec<_> = announced
        .iter()
        .filter(|(_, (member, read))| is_gone(member, *read))
        .map(|(name, _)| name.clone())
        .collect();
    for name in gone {
        match store.append(MEMBERS_TOPIC, &name, &[]).await {
            Ok(()) => {
                announced.remove(&name);
            }
            // It is tried again after the next reading.
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
async fn keep_spending(address: net::SocketAddr, context: rc::Rc<context::Context>) {
    let mut store = store::Store::new(address);
    read_past(&mut store, &context).await;
    let mut last = Vec::new();
    loop {
        tokio::time::sleep(constants::TOLD_EVERY).await;
        let now = context.now();
        if !context.read(|fleet| fleet.is_limit_coordinator(now)) {
            continue;
        }
        if !context.read(|fleet| fleet.knows_history()) {
            read_past(&mut store, &context).await;
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
async fn read_past(store: &mut store::Store, context: &context::Context) {
    for _ in 0..PAST_TRIES {
        if context.read(|fleet| fleet.knows_history()) {
            return;
        }
        match store.newest(SPENDING_TOPIC).await {
            Ok(records) => return tell_past(context, &records.records),
            Err(failure) => log::warn!("past spending is not known yet: {failure}"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn tell_past(context: &context::Context, records: &[store::Record]) {
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
