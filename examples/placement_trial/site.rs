//! The two sites: their servers, workspaces and prompts.

use std::net;
use std::sync;

use galenayard::core::collections;
use galenayard::core::configuration;
use galenayard::core::ids;
use galenayard::core::membership;
use galenayard::document;
use xxhash_rust::xxh3;

use crate::engines;

pub const MODEL: &[u8] = b"m";
pub const WORKSPACES: usize = 5;
/// The first workspace sends this many times as much as each other one.
const HOG_FACTOR: u64 = 5;
const CATALOGUES: u64 = 12;
const BLOCK_TOKENS: u64 = 256;

/// The sizes of prompts and answers, in blocks and tokens.
#[derive(Clone, Copy)]
struct Shape {
    common_blocks: u64,
    catalogue_blocks: (u64, u64),
    own_tokens: (u64, u64),
    output_tokens: (u64, u64),
}

pub struct Site {
    pub name: &'static str,
    pub instances: usize,
    pub prefill_speeds: Vec<f64>,
    pub decode_speeds: Vec<f64>,
    load: f64,
    seed: u64,
    shape: Shape,
    draws: u64,
    number: u64,
}

/// One request.
pub struct Call {
    pub number: u64,
    pub workspace: usize,
    pub prefix: Vec<ids::BlockHash>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// Long catalogues on 9 language servers.
pub fn consortium(load: f64, seed: u64) -> Site {
    Site {
        name: "consortium",
        instances: 6,
        prefill_speeds: vec![0.8, 1.4, 2.4],
        decode_speeds: vec![0.7, 0.9, 1.2, 1.5, 1.8, 2.1],
        load,
        seed,
        shape: Shape {
            common_blocks: 2,
            catalogue_blocks: (4, 24),
            own_tokens: (200, 1_200),
            output_tokens: (60, 300),
        },
        draws: 0,
        number: 0,
    }
}

/// Many small checks on 12 language servers.
pub fn cooperative(load: f64, seed: u64) -> Site {
    Site {
        name: "cooperative",
        instances: 9,
        prefill_speeds: vec![0.5, 0.8, 1.2, 1.5],
        decode_speeds: vec![0.7, 0.7, 0.9, 1.2, 1.2, 1.5, 1.8, 2.1],
        load,
        seed,
        shape: Shape {
            common_blocks: 1,
            catalogue_blocks: (2, 6),
            own_tokens: (50, 500),
            output_tokens: (20, 120),
        },
        draws: 0,
        number: 0,
    }
}

impl Site {
    /// The capacity is what the decode servers give within the target for the time between tokens.
    pub fn next_gap_ms(&mut self) -> f64 {
        let speeds = self.decode_speeds.iter();
        let tokens_per_s: f64 =
            speeds.map(|speed| engines::decode_tokens_per_s(*speed, 42.0)).sum();
        let (least, most) = self.shape.output_tokens;
        let requests_per_s = self.load * tokens_per_s / ((least + most) as f64 / 2.0);
        let uniform = (self.draw() >> 11) as f64 / (1u64 << 53) as f64;
        -(1.0 - uniform).ln() * 1_000.0 / requests_per_s
    }

    pub fn next_call(&mut self) -> Call {
        self.number += 1;
        let shares = HOG_FACTOR + WORKSPACES as u64 - 1;
        let workspace = self.between((0, shares - 1)).saturating_sub(HOG_FACTOR - 1) as usize;
        let skewed = self.between((0, CATALOGUES - 1)).min(self.between((0, CATALOGUES - 1)));
        let shape = self.shape;
        let seed = 1_000 * (workspace as u64 + 1) + skewed;
        let (least, most) = shape.catalogue_blocks;
        let catalogue = least + xxh3::xxh3_64(&seed.to_le_bytes()) % (most - least + 1);
        let own_tokens = self.between(shape.own_tokens);
        let output_tokens = self.between(shape.output_tokens) as u32;
        let common = (0..shape.common_blocks).map(|block| (7, block));
        let shared = (0..catalogue).map(|block| (seed, block));
        let own = (0..own_tokens / BLOCK_TOKENS).map(|block| (self.number << 32, block));
        let prefix = common.chain(shared).chain(own);
        Call {
            number: self.number,
            workspace,
            prefix: prefix
                .map(|(seed, b)| xxh3::xxh3_64_with_seed(&b.to_le_bytes(), seed))
                .collect(),
            prompt_tokens: ((shape.common_blocks + catalogue) * BLOCK_TOKENS + own_tokens) as u32,
            output_tokens,
        }
    }

    pub fn calls(&self) -> u64 {
        self.number
    }

    pub fn snapshot(&self) -> configuration::SharedSnapshot {
        let prefills = (0..self.prefill_speeds.len())
            .map(|index| engine(prefill_server(index), document::Role::Prefill));
        let decodes = (0..self.decode_speeds.len())
            .map(|index| engine(decode_server(index), document::Role::Decode));
        let servers: Vec<_> = prefills.chain(decodes).collect();
        let route = document::LanguageRoute {
            id: MODEL.into(),
            model: MODEL.into(),
            servers: servers.iter().map(|server| server.id.clone()).collect(),
            workspaces: Vec::new(),
        };
        let workspaces = (0..WORKSPACES).map(|index| document::Workspace {
            id: workspace(index),
            rate_tokens_per_s: 1,
            burst_tokens: 1,
            weight: 1,
            keys: Vec::new(),
        });
        let document = document::Document {
            workspaces: workspaces.collect(),
            servers,
            language_routes: vec![route],
            ..document::Document::default()
        };
        sync::Arc::new(configuration::Snapshot::new(1, [0; 32], document))
    }

    pub fn view(&self) -> membership::SharedView {
        let address = net::SocketAddr::from(([127, 0, 0, 1], 1));
        let members = (0..self.instances).map(|index| membership::Member {
            id: instance(index),
            incarnation: incarnation(index),
            failure_domain: "d".into(),
            weight: 1,
            peer_address: address,
            caller_address: address,
            leaving: false,
            joined: 1,
        });
        sync::Arc::new(membership::View { version: 1, members: members.collect() })
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        xxh3::xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed)
    }

    fn between(&mut self, (least, most): (u64, u64)) -> u64 {
        least + self.draw() % (most - least + 1)
    }
}

fn engine(id: ids::ServerId, role: document::Role) -> document::Server {
    document::Server {
        id,
        kind: document::Kind::Engine,
        role,
        failure_domain: "d".into(),
        models: vec![MODEL.into()],
        slots: engines::SLOTS as u32,
        memory_pieces: 120,
        link_bytes_per_s: 1,
        checks_fencing: true,
        leaving: false,
        addresses: collections::Map::default(),
    }
}

pub fn instance(index: usize) -> ids::InstanceId {
    format!("instance-{index}").into()
}

pub fn instance_index(id: &ids::InstanceId) -> usize {
    server_index(id)
}

pub fn incarnation(index: usize) -> ids::Incarnation {
    xxh3::xxh3_64(&index.to_le_bytes())
}

pub fn request(node: usize, number: u64) -> ids::RequestId {
    ids::request_id(incarnation(node), number)
}

pub fn workspace(index: usize) -> ids::WorkspaceId {
    format!("workspace-{index}").into()
}

pub fn prefill_server(index: usize) -> ids::ServerId {
    format!("prefill-{index}").into()
}

pub fn decode_server(index: usize) -> ids::ServerId {
    format!("decode-{index}").into()
}

/// Returns the number at the end of a name.
pub fn server_index(id: &ids::ServerId) -> usize {
    let text = std::str::from_utf8(id).unwrap_or_default();
    text.rsplit('-').next().and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
