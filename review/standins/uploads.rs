//! Many users come at once with long bodies, which the limits of the configuration allow.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Failure;
use crate::Verdict;
use crate::client;
use crate::node;
use crate::plain;
use crate::world;

/// The length of a body; the limit is 4,194,304.
const BODY_BYTES: usize = 4_000_000;

/// The users at each machine at usual times, and in the burst: 2.25 times as many.
const USUAL: usize = 8;
const BURST: usize = 18;

/// The bursts, and their length.
const BURSTS: usize = 3;
const BURST_TIME: Duration = Duration::from_secs(4);

/// The pause between two bursts.
const PAUSE: Duration = Duration::from_secs(6);

pub fn run(folder: &Path, has_trouble: bool) -> Result<Verdict, Failure> {
    let mut world = world::World::start(folder)?;
    for id in ["i-b1", "i-b2", "i-b3"] {
        let address = world.server_address();
        let work = Duration::from_millis(300);
        let address = plain::start(id, address, work, &world.record)?;
        world.register(id, "booking-desk", address, 6, "");
    }
    world.configure(
        1,
        &[world::route("/desk/", "idempotent", "booking-desk", 2_000, 8_000, "")],
        "[{\"Name\":\"booking-desk\"}]",
        "[{\"Name\":\"huka270\",\"ApiKeys\":[\"key-a\"]}]",
    );
    let mut nodes = world.start_nodes(2)?;
    let served = Arc::new(AtomicUsize::new(0));
    let in_burst = Arc::new(AtomicBool::new(false));
    let is_over = Arc::new(AtomicBool::new(false));
    for node in &nodes {
        for user in 0..BURST {
            let (to, record) = (node.frontend(), world.record.clone());
            let (served, in_burst) = (Arc::clone(&served), Arc::clone(&in_burst));
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    if user < USUAL || in_burst.load(Ordering::Relaxed) {
                        let end = client::send(&call(), to, &record);
                        served.fetch_add(usize::from(end.is_served()), Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    }
    let (mut ends, mut peaks) = (vec![0; nodes.len()], vec![0; nodes.len()]);
    for _ in 0..BURSTS {
        watch(&world, &mut nodes, (&mut ends, &mut peaks), PAUSE)?;
        in_burst.store(has_trouble, Ordering::Relaxed);
        world.record.line(if has_trouble { "users: a burst begins" } else { "users: as usual" });
        watch(&world, &mut nodes, (&mut ends, &mut peaks), BURST_TIME)?;
        in_burst.store(false, Ordering::Relaxed);
    }
    watch(&world, &mut nodes, (&mut ends, &mut peaks), PAUSE)?;
    is_over.store(true, Ordering::Relaxed);
    let served = served.load(Ordering::Relaxed);
    let text = format!(
        "over the limit of {} MB, the processes of the machines were ended {ends:?} times; at most \
         {peaks:?} MB; {served} requests served",
        node::MEMORY_LIMIT_MB
    );
    world.record.line(&text);
    if served < 20 {
        return Err(text.into());
    }
    // On two machines, three times in the day.
    let is_broken = ends.iter().all(|count| *count >= 3);
    Ok(if is_broken { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Ends processes that take more memory than their machine has, and starts them again, as the
/// platform does.
fn watch(
    world: &world::World,
    nodes: &mut [node::Node],
    (ends, peaks): (&mut [u32], &mut [u64]),
    span: Duration,
) -> Result<(), Failure> {
    let until = Instant::now() + span;
    while Instant::now() < until {
        for (index, node) in nodes.iter_mut().enumerate() {
            let memory_mb = node.memory_mb();
            peaks[index] = peaks[index].max(memory_mb);
            let is_over = memory_mb > node::MEMORY_LIMIT_MB;
            if is_over || node.has_ended() {
                let name = node.name();
                world.record.line(&format!("platform: {name} takes {memory_mb} MB and is killed"));
                ends[index] += 1;
                node.restart()?;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn call() -> client::Call {
    client::Call {
        method: "POST",
        host: world::HOST.to_string(),
        path: "/desk/2f".to_string(),
        headers: vec![("Authorization", "Bearer key-a".to_string())],
        body: vec![b'u'; BODY_BYTES],
        deadline: Duration::from_millis(8_000),
        patience: Duration::from_millis(8_000),
    }
}
