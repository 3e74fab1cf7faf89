//! The planning of a burst alone: link budgets as plain numbers, the time as an argument.
//!
//! `cargo run --release -p mustardrill_core --example burst -- [--agents 8,32,...] [--chunks N]
//! [--seed N] [--copies N] [--drawers N] [--kill PERCENT]` prints, for each size of fleet, the
//! time until all serve against the bound, the bytes of origin and links in copies, and the
//! planner's processor time for each chunk, beside three baselines worked out in closed form.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mustardrill_core::manifest::{ChunkBitmap, Manifest};
use mustardrill_core::transfer::{
    ChunkSource, FetchOutcome, TransferPeer, TransferPlan, TransferSettings,
};
use mustardrill_types::{
    ByteSize, ChunkIndex, FastMap, InstanceId, ManifestDigest, Millis, Moment,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A chunk takes this long over a machine's link, in milliseconds; over the origin's, half.
const CHUNK_MS: u64 = 100;

/// The time of a message between two machines, in milliseconds.
const MESSAGE_MS: u64 = 1;

/// How often each agent looks at the time, in milliseconds.
const TICK_MS: u64 = 20;

/// How many uploads an agent queues.
const UPLOADS: u64 = 4;

struct Options {
    agents: Vec<usize>,
    chunks: u32,
    seed: u64,
    kill_percent: usize,
    settings: TransferSettings,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Asked { agent: usize, holder: usize, index: u32 },
    Arrived { agent: usize, holder: Option<usize>, index: u32 },
    Turned { agent: usize, holder: usize, index: u32, busy: bool },
    Kill(usize),
}

struct Machine {
    plan: TransferPlan,
    up_free: u64,
    down_free: u64,
    uploads: u64,
    sent: u64,
    done_at: Option<u64>,
    is_dead: bool,
}

struct Burst {
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    machines: Vec<Machine>,
    places: FastMap<InstanceId, usize>,
    peers: Vec<TransferPeer>,
    origin_free: u64,
    origin_sent: u64,
    planning: Duration,
}

fn main() {
    let options = parse();
    println!(
        "{} chunks, seed {}, copies {}, drawers {}, killed half-way {} %",
        options.chunks,
        options.seed,
        options.settings.origin_copies,
        options.settings.max_seeders,
        options.kill_percent
    );
    println!(
        "{:>6} {:>10} {:>10} {:>9} {:>9} {:>12} | time/bound of: {:>8} {:>7} {:>7}",
        "agents",
        "time/bound",
        "origin/S",
        "up worst",
        "up mean",
        "us per chunk",
        "origin",
        "chain",
        "tree"
    );
    for count in &options.agents {
        let burst = Burst::run(*count, &options);
        burst.print(&options);
    }
}

fn parse() -> Options {
    let mut options = Options {
        agents: vec![8, 16, 32, 100, 340, 1000, 2300],
        chunks: 500,
        seed: 1,
        kill_percent: 0,
        settings: TransferSettings {
            stall_after: Millis(15 * CHUNK_MS),
            chunk_timeout: Millis(100 * CHUNK_MS),
            ..TransferSettings::default()
        },
    };
    let words: Vec<String> = std::env::args().skip(1).collect();
    for pair in words.chunks(2) {
        let [name, value] = pair else { panic!("{} needs a value", pair[0]) };
        let number = || value.parse::<usize>().expect("a number");
        match name.as_str() {
            "--agents" => {
                options.agents = value.split(',').map(|it| it.parse().expect("a number")).collect();
            }
            "--chunks" => options.chunks = number() as u32,
            "--seed" => options.seed = number() as u64,
            "--copies" => options.settings.origin_copies = number(),
            "--drawers" => options.settings.max_seeders = number(),
            "--window" => options.settings.window = number(),
            "--origin-window" => options.settings.origin_window = number(),
            "--partners" => options.settings.partners = number(),
            "--sample" => options.settings.sample = number(),
            "--kill" => options.kill_percent = number(),
            other => panic!("no option {other}"),
        }
    }
    options
}

impl Burst {
    fn run(count: usize, options: &Options) -> Self {
        let manifest = Arc::new(manifest(options.chunks));
        let peers: Vec<_> = (0..count).map(peer).collect();
        let machines = peers.iter().enumerate().map(|(place, own)| {
            let seed = options.seed * 1_000_000 + place as u64;
            let plan = TransferPlan::new(
                Moment(1),
                own.clone(),
                manifest.clone(),
                options.settings.clone(),
                seed,
            );
            let (up_free, down_free, uploads, sent) = (0, 0, 0, 0);
            Machine { plan, up_free, down_free, uploads, sent, done_at: None, is_dead: false }
        });
        let places = peers.iter().enumerate().map(|(place, it)| (it.id.clone(), place)).collect();
        let mut burst = Self {
            now: 1,
            queue: BinaryHeap::new(),
            order: 0,
            machines: machines.collect(),
            places,
            origin_free: 0,
            origin_sent: 0,
            planning: Duration::ZERO,
            peers,
        };
        for place in 0..count {
            let peers = burst.peers.clone();
            burst.machines[place].plan.set_peers(&peers);
            burst.push(1 + place as u64 % TICK_MS, Event::Tick(place));
        }
        burst.plan_deaths(options);
        let limit = u64::from(options.chunks) * CHUNK_MS * (count as u64 + 10);
        while let Some(Reverse((time, _, event))) = burst.queue.pop() {
            burst.now = time;
            burst.handle(event);
            if burst.is_done() || time > limit {
                break;
            }
        }
        burst
    }

    fn plan_deaths(&mut self, options: &Options) {
        let half = u64::from(options.chunks) * CHUNK_MS / 2;
        let mut random = StdRng::seed_from_u64(options.seed);
        let count = self.machines.len() * options.kill_percent / 100;
        for _ in 0..count {
            let place = random.random_range(0..self.machines.len());
            let time = random.random_range(1..half * 2);
            self.push(time, Event::Kill(place));
        }
    }

    fn push(&mut self, time: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order, event)));
    }

    fn is_done(&self) -> bool {
        self.machines.iter().all(|machine| machine.is_dead || machine.done_at.is_some())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(agent) => self.tick(agent),
            Event::Asked { agent, holder, index } => self.asked(agent, holder, index),
            Event::Arrived { agent, holder, index } => self.arrived(agent, holder, index),
            Event::Turned { agent, holder, index, busy } => self.turned(agent, holder, index, busy),
            Event::Kill(agent) => self.kill(agent),
        }
    }

    fn tick(&mut self, agent: usize) {
        if self.machines[agent].is_dead || self.machines[agent].done_at.is_some() {
            return;
        }
        let now = Moment(self.now);
        self.timed(agent, |plan| {
            plan.expire_fetches(now);
        });
        let stale = self.machines[agent].plan.partners().stale_partners(now, Millis(CHUNK_MS));
        for id in stale {
            let holder = self.places[&id];
            if self.machines[holder].is_dead {
                self.machines[agent].plan.record_peer_failure(now, &id);
            } else {
                self.hear(agent, holder);
                self.hear(holder, agent);
            }
        }
        self.draw(agent);
        self.push(self.now + TICK_MS, Event::Tick(agent));
    }

    /// Lets one agent learn what another holds.
    fn hear(&mut self, agent: usize, holder: usize) {
        let held: ChunkBitmap = self.machines[holder].plan.held().clone();
        let queue = self.machines[holder].uploads as u32;
        let id = self.peers[holder].id.clone();
        let now = Moment(self.now);
        self.timed(agent, |plan| plan.record_holdings(now, &id, held, queue));
    }

    fn draw(&mut self, agent: usize) {
        let now = Moment(self.now);
        let mut draws = Vec::new();
        self.timed(agent, |plan| draws = plan.next_fetches(now));
        for draw in draws {
            let index = draw.index.0;
            match draw.source {
                ChunkSource::Origin => {
                    self.origin_free = self.origin_free.max(self.now) + CHUNK_MS / 2;
                    self.origin_sent += 1;
                    let time = self.receive(agent, self.origin_free);
                    self.push(time, Event::Arrived { agent, holder: None, index });
                }
                ChunkSource::Peer(id) | ChunkSource::Relay(id) => {
                    let holder = self.places[&id];
                    let time = self.now + MESSAGE_MS;
                    self.push(time, Event::Asked { agent, holder, index });
                }
            }
        }
    }

    /// When bytes that leave the sender at `sent` are through the receiver's link.
    fn receive(&mut self, agent: usize, sent: u64) -> u64 {
        let machine = &mut self.machines[agent];
        machine.down_free = (machine.down_free + CHUNK_MS).max(sent);
        machine.down_free
    }

    fn asked(&mut self, agent: usize, holder: usize, index: u32) {
        // A dead holder does not answer; the draw ends by its patience.
        if self.machines[holder].is_dead || self.machines[agent].is_dead {
            return;
        }
        self.hear(holder, agent);
        let lacks = !self.machines[holder].plan.held().contains(ChunkIndex(index));
        if lacks || self.machines[holder].uploads >= UPLOADS {
            let busy = !lacks;
            let time = self.now + MESSAGE_MS;
            self.push(time, Event::Turned { agent, holder, index, busy });
            return;
        }
        let machine = &mut self.machines[holder];
        machine.uploads += 1;
        machine.sent += 1;
        machine.up_free = machine.up_free.max(self.now) + CHUNK_MS;
        let sent = machine.up_free;
        let time = self.receive(agent, sent);
        self.push(time, Event::Arrived { agent, holder: Some(holder), index });
    }

    fn arrived(&mut self, agent: usize, holder: Option<usize>, index: u32) {
        let source = match holder {
            Some(holder) => {
                let machine = &mut self.machines[holder];
                machine.uploads = machine.uploads.saturating_sub(1);
                if machine.is_dead {
                    return;
                }
                self.hear(agent, holder);
                ChunkSource::Peer(self.peers[holder].id.clone())
            }
            None => ChunkSource::Origin,
        };
        self.finish(agent, index, &source, &FetchOutcome::Verified);
    }

    fn turned(&mut self, agent: usize, holder: usize, index: u32, busy: bool) {
        self.hear(agent, holder);
        let others = self.machines[holder].plan.partners().holders(ChunkIndex(index), 4);
        let outcome = if busy { FetchOutcome::Busy(others) } else { FetchOutcome::Missing };
        let source = ChunkSource::Peer(self.peers[holder].id.clone());
        self.finish(agent, index, &source, &outcome);
    }

    fn finish(&mut self, agent: usize, index: u32, source: &ChunkSource, outcome: &FetchOutcome) {
        if self.machines[agent].is_dead {
            return;
        }
        let now = Moment(self.now);
        self.timed(agent, |plan| {
            plan.record_outcome(now, ChunkIndex(index), source, outcome);
        });
        let machine = &mut self.machines[agent];
        if machine.plan.is_complete() {
            machine.done_at.get_or_insert(self.now);
        } else {
            self.draw(agent);
        }
    }

    fn kill(&mut self, agent: usize) {
        self.machines[agent].is_dead = true;
        let dead: Vec<_> = self.machines.iter().map(|machine| machine.is_dead).collect();
        let alive: Vec<_> = self
            .peers
            .iter()
            .zip(dead)
            .filter(|(_, is_dead)| !is_dead)
            .map(|(peer, _)| peer.clone())
            .collect();
        for machine in &mut self.machines {
            machine.plan.set_peers(&alive);
        }
    }

    fn timed(&mut self, agent: usize, step: impl FnOnce(&mut TransferPlan)) {
        let started = Instant::now();
        step(&mut self.machines[agent].plan);
        self.planning += started.elapsed();
    }

    fn print(&self, options: &Options) {
        let count = self.machines.len();
        let chunks = u64::from(options.chunks);
        let hops = 1.0 + (count as f64).log2().ceil();
        let bound = (chunks as f64 + hops) * CHUNK_MS as f64;
        let finished = self.machines.iter().filter_map(|machine| machine.done_at).max();
        let share = |bytes: u64| bytes as f64 / chunks as f64;
        let worst = self.machines.iter().map(|machine| machine.sent).max().unwrap_or(0);
        let mean = self.machines.iter().map(|machine| machine.sent).sum::<u64>() / count as u64;
        let time = if self.is_done() { finished.unwrap_or(0) as f64 / bound } else { f64::NAN };
        let drawn = (count as u64 * chunks) as f64;
        let cost = self.planning.as_secs_f64() * 1e6 / drawn;
        // Everybody from the origin; one after the other; a binary tree, in which each machine
        // sends two copies over a link that carries one at a time.
        let from_origin = (count as f64 * chunks as f64 / 2.0) * CHUNK_MS as f64 / bound;
        let chain = (chunks as f64 + count as f64) * CHUNK_MS as f64 / bound;
        let depth = (count as f64 + 1.0).log2().ceil();
        let tree = (2.0 * chunks as f64 + 2.0 * depth) * CHUNK_MS as f64 / bound;
        println!(
            "{count:>6} {time:>10.3} {:>10.3} {:>9.2} {:>9.2} {cost:>12.2} |                {from_origin:>8.1} {chain:>7.2} {tree:>7.2}",
            share(self.origin_sent),
            share(worst),
            share(mean)
        );
    }
}

fn peer(place: usize) -> TransferPeer {
    let centre = format!("centre-{}", place % 7);
    TransferPeer {
        id: format!("instance-{place}").parse().expect("a valid name"),
        data_centre: centre.parse().expect("a valid name"),
    }
}

fn manifest(chunks: u32) -> Manifest {
    Manifest {
        model: "model".parse().expect("a valid name"),
        version: "v1".parse().expect("a valid name"),
        size: ByteSize(u64::from(chunks)),
        chunk_size: ByteSize(1),
        chunks: (0..chunks).map(|index| ManifestDigest::of(&index.to_le_bytes())).collect(),
    }
}
