//! Requests that wait in an instance that is stopped with SIGTERM, while all engines are busy.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use crate::Failure;
use crate::Verdict;
use crate::client;
use crate::engine;
use crate::world;

/// The bound of the rule: a request that is cut sooner after its last byte does not count.
const LOSS_SLACK: Duration = Duration::from_millis(200);

const DEADLINE: Duration = Duration::from_millis(14_000);

/// Clients give up a stream after four times its objective of 2 s without an event.
const PATIENCE: Duration = Duration::from_millis(8_000);

/// Streams that take all places of both decode servers, 9 each, for 11.6 s.
const OCCUPANTS: usize = 18;
const EVENT_PAUSE: Duration = Duration::from_millis(165);

/// The slots of a server, and its memory in tokens.
const SLOTS: u32 = 12;
const CAPACITY: u64 = 75_662;

/// When requests are sent, relative to SIGTERM, in milliseconds. Clients use an address that they have
/// resolved for several seconds.
const WAITERS_AT_MS: [i64; 8] = [-100, -50, 100, 300, 600, 900, 1_200, 1_500];

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let mut world = world::World::start(folder)?;
    let handles = engine::Handles::default();
    for (id, is_prefill) in [("p1", true), ("p2", true), ("d1", false), ("d2", false)] {
        let shape = engine::Shape {
            id: format!("i-{id}"),
            is_prefill,
            slots: SLOTS,
            capacity: CAPACITY,
            pause: EVENT_PAUSE,
            line_end: "\n",
        };
        let address = world.server_address();
        let (_, address) = engine::Engine::start(shape, address, &handles, &world.record)?;
        let stage = if is_prefill { "prefill" } else { "decode" };
        world.register(&format!("i-{id}"), "gloss-llm", address, SLOTS, stage);
    }
    let more = ",\"GapAimMs\":300,\"Resumable\":true,\"Sticky\":true";
    world.configure(
        1,
        &[world::route("/gloss/", "streaming", "gloss-llm", 2_000, 14_000, more)],
        &format!("[{{\"Name\":\"gloss-llm\",\"Engine\":{{\"Slots\":{SLOTS},\"KvCapacity\":{CAPACITY}}}}}]"),
        "[{\"Name\":\"huka270\",\"ApiKeys\":[\"key-a\"]}]",
    );
    let nodes = world.start_nodes(2)?;
    let (leaving, staying) = (&nodes[0], &nodes[1]);
    let ends: Arc<Mutex<Vec<client::End>>> = Arc::default();
    let mut threads = Vec::new();
    for _ in 0..OCCUPANTS {
        let (to, record) = (staying.frontend(), world.record.clone());
        threads.push(thread::spawn(move || {
            client::send(&call(), to, &record);
        }));
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_millis(700));
    let sigterm_after_ms = 100;
    for at_ms in WAITERS_AT_MS {
        let (to, record, ends) = (leaving.frontend(), world.record.clone(), Arc::clone(&ends));
        threads.push(thread::spawn(move || {
            let wait_ms = u64::try_from(sigterm_after_ms + at_ms).unwrap_or(0);
            thread::sleep(Duration::from_millis(wait_ms));
            let end = client::send(&call(), to, &record);
            ends.lock().unwrap_or_else(PoisonError::into_inner).push(end);
        }));
    }
    thread::sleep(Duration::from_millis(100));
    if has_trouble {
        world.record.line(&format!("platform: SIGTERM to {}", leaving.name()));
        leaving.signal("TERM");
    }
    for thread in threads {
        let _ = thread.join();
    }
    let ends = ends.lock().unwrap_or_else(PoisonError::into_inner);
    let is_lost = |end: &&client::End| {
        end.is_cut && !end.is_whole && end.after_sent > LOSS_SLACK && end.after_sent < DEADLINE
    };
    if let Some(words) = leaving.last_words() {
        world.record.line(&format!("{}: {words}", leaving.name()));
    }
    let lost = ends.iter().filter(is_lost).count();
    let text = format!("{lost} of {} requests lost without an answer", ends.len());
    world.record.line(&text);
    Ok(if lost > 0 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

fn call() -> client::Call {
    client::Call {
        method: "POST",
        host: world::HOST.to_string(),
        path: "/gloss/2f".to_string(),
        headers: vec![
            ("Authorization", "Bearer key-a".to_string()),
            ("Model", "m".to_string()),
            ("Token-Count", "5200,70".to_string()),
            ("Length-Hint", "70".to_string()),
            ("Prefix-Hash", format!("5c1e07a2:200,{}:5000", client::new_id())),
        ],
        body: vec![b'p'; 5_000],
        deadline: DEADLINE,
        patience: PATIENCE,
    }
}
