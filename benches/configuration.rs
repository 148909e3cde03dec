//! The cost of a change of configuration at one reader, at the size to design for: 1,400 servers
//! and 300 workspaces with two keys each.

use std::fmt::Write;
use std::hint;
use std::time::Duration;

use bytes::Bytes;
use criterion::{Criterion, criterion_group, criterion_main};
use galenayard::core::configuration::{self, Configuration, Effect, Event, Proposal, content};
use galenayard::core::log;
use galenayard::core::reducer::Reducer;
use galenayard::document;

const SERVERS: usize = 1_400;
const WORKSPACES: usize = 300;
const MODELS: usize = 4;

/// Writes a document in which the first workspace has this rate.
fn document_text(rate: usize) -> String {
    let mut text = String::new();
    for index in 0..WORKSPACES {
        let rate = if index == 0 { rate } else { 5_000 };
        let _ = write!(
            text,
            "[[workspaces]]\nid = \"workspace-{index:03}\"\nrate_tokens_per_s = {rate}\n\
             burst_tokens = 50000\n\n"
        );
        for key in 0..2 {
            let digest = content::digest(format!("{index}-{key}").as_bytes());
            let digest = document::hex::format(&digest);
            let _ =
                write!(text, "[[workspaces.keys]]\nid = \"key-{key}\"\nsha256 = \"{digest}\"\n\n");
        }
    }
    for index in 0..SERVERS {
        let role = if (index / MODELS).is_multiple_of(2) { "prefill" } else { "decode" };
        let (model, domain, high, low) = (index % MODELS, index % 16, index / 256, index % 256);
        let _ = write!(
            text,
            "[[servers]]\nid = \"engine-{index:04}\"\nkind = \"engine\"\nrole = \"{role}\"\n\
             failure_domain = \"domain-{domain}\"\nmodels = [\"model-{model}\"]\n\
             addresses = {{ trial = \"10.1.{high}.{low}:7200\", \
             production = \"10.0.{high}.{low}:7200\" }}\n\n"
        );
    }
    for model in 0..MODELS {
        let servers: Vec<String> = (0..SERVERS)
            .filter(|index| index % MODELS == model)
            .map(|index| format!("\"engine-{index:04}\""))
            .collect();
        let servers = servers.join(", ");
        let _ = write!(
            text,
            "[[language_routes]]\nid = \"route-{model}\"\nmodel = \"model-{model}\"\n\
             servers = [{servers}]\n\n"
        );
    }
    text
}

fn proposal(id: u128, base: u64, rate: usize) -> Event {
    Event::Proposed(Proposal {
        id,
        base,
        author: Bytes::from_static(b"operator"),
        body: Bytes::from(document_text(rate)),
    })
}

/// Applies an event and returns the bodies of the records that are to be appended.
fn apply(reducer: &mut Configuration, event: Event) -> Vec<Bytes> {
    let mut effects = Vec::new();
    reducer.apply(event, Duration::from_secs(1), &mut effects);
    let appends = effects.into_iter().filter_map(|effect| match effect {
        Effect::Append { body, .. } => Some(body),
        _ => None,
    });
    appends.collect()
}

fn read(records: &[Bytes], from: usize) -> Event {
    let records: Vec<log::Record> = records
        .iter()
        .enumerate()
        .skip(from - 1)
        .map(|(index, body)| log::Record {
            offset: index as u64 + 1,
            time_ms: 1,
            body: body.clone(),
        })
        .collect();
    let next = (records.len() + from) as u64;
    Event::Read(log::Batch { requested_at: Duration::from_secs(1), first: 1, next, records })
}

/// Returns the records of the first document and of a change of one rate.
fn records() -> Vec<Bytes> {
    let mut reducer = new_reducer();
    apply(&mut reducer, read(&[], 1));
    let mut records = apply(&mut reducer, proposal(1, 0, 5_000));
    apply(&mut reducer, read(&records, 1));
    records.extend(apply(&mut reducer, proposal(2, 1, 6_000)));
    records
}

fn new_reducer() -> Configuration {
    configuration::Configuration::new(Bytes::from_static(b"a"), 1)
}

fn benchmark(criterion: &mut Criterion) {
    let text = document_text(5_000);
    let records = records();
    let sizes: Vec<usize> = records.iter().map(Bytes::len).collect();
    let name = format!("parse_{}_bytes", text.len());
    criterion.bench_function(&name, |bencher| {
        bencher.iter(|| {
            let environment = document::Environment::Production;
            document::parse(hint::black_box(text.as_bytes()), environment).is_ok()
        });
    });
    let name = format!("read_change_of_{}_bytes", sizes[1]);
    criterion.bench_function(&name, |bencher| {
        bencher.iter_batched_ref(
            || {
                let mut reducer = new_reducer();
                apply(&mut reducer, read(&records[..1], 1));
                reducer
            },
            |reducer| apply(reducer, read(&records, 2)),
            criterion::BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, benchmark);
criterion_main!(benches);
