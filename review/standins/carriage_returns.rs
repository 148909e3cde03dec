//! Streams whose lines end with a carriage return, as the media type allows, are broken off by their
//! server and resumed at another one.

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

/// The events of a whole stream.
const EVENTS: u64 = 40;

/// The streams, and how many of them are broken off: one in twenty, as the pages allow.
const STREAMS: usize = 20;
const BROKEN_OFF: usize = 1;

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let mut world = world::World::start(folder)?;
    let handles = engine::Handles::default();
    let mut engines = Vec::new();
    for (id, is_prefill) in [("p1", true), ("d1", false), ("d2", false)] {
        let shape = engine::Shape {
            id: format!("i-{id}"),
            is_prefill,
            slots: 64,
            capacity: 85_937,
            pause: Duration::from_millis(50),
            line_end: "\r",
        };
        let address = world.server_address();
        let (engine, address) = engine::Engine::start(shape, address, &handles, &world.record)?;
        let stage = if is_prefill { "prefill" } else { "decode" };
        world.register(&format!("i-{id}"), "reader-llm", address, 64, stage);
        engines.push(engine);
    }
    let more = ",\"GapAimMs\":300,\"Resumable\":true,\"Sticky\":true";
    world.configure(
        1,
        &[world::route("/digest/", "streaming", "reader-llm", 900, 14_000, more)],
        "[{\"Name\":\"reader-llm\",\"Engine\":{\"Slots\":64,\"KvCapacity\":85937}}]",
        "[{\"Name\":\"huka270\",\"ApiKeys\":[\"key-a\"]}]",
    );
    let nodes = world.start_nodes(2)?;
    let ends: Arc<Mutex<Vec<(String, client::End)>>> = Arc::default();
    let mut threads = Vec::new();
    for index in 0..STREAMS {
        let to = nodes[index % nodes.len()].frontend();
        let (record, ends) = (world.record.clone(), Arc::clone(&ends));
        let id = client::new_id();
        let sent = id.clone();
        threads.push(thread::spawn(move || {
            let Ok(stream) = client::connect(to) else { return };
            let end = client::send_on(&call(), &sent, stream, &record);
            ends.lock().unwrap_or_else(PoisonError::into_inner).push((sent, end));
        }));
        thread::sleep(Duration::from_millis(400));
        if has_trouble && index % (STREAMS / BROKEN_OFF) == 0 {
            thread::sleep(Duration::from_millis(700));
            if let Some(stream) = engines.iter().find_map(|engine| engine.connection(&id)) {
                world.record.line(&format!("server: breaks {id} off"));
                engine::reset(&stream);
            }
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let ends = ends.lock().unwrap_or_else(PoisonError::into_inner);
    let mut repeated = 0;
    for (id, end) in ends.iter() {
        let is_in_order = end.events.windows(2).all(|pair| pair[0] + 1 == pair[1]);
        if !is_in_order || end.events.first().is_some_and(|first| *first != 1) {
            repeated += 1;
            world.record.line(&format!("client: {id} got the events {:?}", end.events));
        }
    }
    let served = ends.iter().filter(|(_, end)| end.is_served()).count();
    let text = format!(
        "{repeated} of {STREAMS} streams have an event twice or miss one; {served} ended as whole, of \
         {EVENTS} events each"
    );
    world.record.line(&text);
    if served < STREAMS / 2 {
        return Err(text.into());
    }
    Ok(if repeated > 0 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

fn call() -> client::Call {
    client::Call {
        method: "POST",
        host: world::HOST.to_string(),
        path: "/digest/2f".to_string(),
        headers: vec![
            ("Authorization", "Bearer key-a".to_string()),
            ("Model", "m".to_string()),
            ("Token-Count", format!("5000,{EVENTS}")),
            ("Length-Hint", EVENTS.to_string()),
            ("Prefix-Hash", format!("5c1e07a2:200,{}:4800", client::new_id())),
        ],
        body: vec![b'p'; 5_000],
        deadline: Duration::from_millis(14_000),
        patience: Duration::from_millis(3_600),
    }
}
