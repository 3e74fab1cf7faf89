//! Simulates the transfer plans of a burst, in which a whole fleet fetches a new version at once.
//! Links are modelled by the time at which they become free; no bytes are sent.
//!
//! `cargo run --release -p mustardrill_core --example burst -- [--agents 8,32,...] [--chunks N]
//! [--seed N] [--copies N] [--drawers N] [--kill PERCENT] [--kill-drawers N --kill-at PERCENT]` prints,
//! for each fleet size, the time until all instances are complete as a multiple of a lower bound, the
//! data sent by the origin and by the instances in copies of the version, and the planner's processor
//! time per chunk. Three simpler schemes are printed beside it, calculated in closed form.
//!
//! `--kill-drawers` kills those of which the most chunks are at no other instance, once the origin
//! has sent that part of the chunks. It prints how many of their chunks no survivor held, and how
//! many of these were still on their way from the origin, which no planner could save.

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

/// Transfer time of a chunk over an instance's link; the origin's link is twice as fast.
const CHUNK_MS: u64 = 100;

/// Latency of a message between two instances.
const MESSAGE_MS: u64 = 1;

/// Interval at which each agent checks for overdue fetches and exchanges state with its partners.
const TICK_MS: u64 = 20;

/// Uploads that an agent queues before it answers that it is busy.
const UPLOAD_QUEUE_LIMIT: u64 = 4;

struct Options {
    agents: Vec<usize>,
    chunks: u32,
    seed: u64,
    kill_percent: usize,
    kill_drawers: usize,
    kill_at_percent: u64,
    settings: TransferSettings,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    /// An agent's request for a chunk reaches a holder.
    ChunkRequested {
        agent: usize,
        holder: usize,
        index: u32,
    },
    /// A chunk reaches an agent, from the origin where `holder` is `None`.
    ChunkArrived {
        agent: usize,
        holder: Option<usize>,
        index: u32,
    },
    /// A holder refused to send a chunk: it is busy, or does not have the chunk.
    ChunkRefused {
        agent: usize,
        holder: usize,
        index: u32,
        is_busy: bool,
    },
    Kill(usize),
}

/// A simulated instance. Times are in milliseconds.
struct SimulatedInstance {
    plan: TransferPlan,
    /// When the upload link becomes free.
    uplink_free_at: u64,
    /// When the download link becomes free.
    downlink_free_at: u64,
    /// Uploads queued or in progress.
    uploads: u64,
    /// Chunks sent.
    sent: u64,
    /// When the version was complete.
    completed_at: Option<u64>,
    is_dead: bool,
}

struct Burst {
    now: u64,
    /// Time, sequence number and event.
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_sequence: u64,
    instances: Vec<SimulatedInstance>,
    number_of_instance: FastMap<InstanceId, usize>,
    peers: Vec<TransferPeer>,
    origin_free_at: u64,
    origin_sent: u64,
    /// Of the killed drawers' chunks, how many no survivor held, and of these how many were in flight.
    lost: Option<(u64, u64)>,
    /// Time spent in the plans, for all instances together.
    planning_time: Duration,
}

fn main() {
    let options = parse_options();
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

fn parse_options() -> Options {
    let mut options = Options {
        agents: vec![8, 16, 32, 100, 340, 1000, 2300],
        chunks: 500,
        seed: 1,
        kill_percent: 0,
        kill_drawers: 0,
        kill_at_percent: 50,
        settings: TransferSettings {
            stall_after: Millis(15 * CHUNK_MS),
            chunk_timeout: Millis(100 * CHUNK_MS),
            ..TransferSettings::default()
        },
    };
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    for pair in arguments.chunks(2) {
        let [name, value] = pair else { panic!("option {} needs a value", pair[0]) };
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
            "--kill-drawers" => options.kill_drawers = number(),
            "--kill-at" => options.kill_at_percent = number() as u64,
            other => panic!("unknown option {other}"),
        }
    }
    options
}

impl Burst {
    fn run(count: usize, options: &Options) -> Self {
        let manifest = Arc::new(manifest(options.chunks));
        let peers: Vec<_> = (0..count).map(peer).collect();
        let instances = peers.iter().enumerate().map(|(number, own)| {
            let seed = options.seed * 1_000_000 + number as u64;
            let plan = TransferPlan::new(
                Moment(1),
                own.clone(),
                manifest.clone(),
                options.settings.clone(),
                seed,
            );
            let (uplink_free_at, downlink_free_at, uploads, sent) = (0, 0, 0, 0);
            SimulatedInstance {
                plan,
                uplink_free_at,
                downlink_free_at,
                uploads,
                sent,
                completed_at: None,
                is_dead: false,
            }
        });
        let number_of_instance =
            peers.iter().enumerate().map(|(number, peer)| (peer.id.clone(), number)).collect();
        let mut burst = Self {
            now: 1,
            queue: BinaryHeap::new(),
            next_sequence: 0,
            instances: instances.collect(),
            number_of_instance,
            origin_free_at: 0,
            origin_sent: 0,
            lost: None,
            planning_time: Duration::ZERO,
            peers,
        };
        for number in 0..count {
            let peers = burst.peers.clone();
            burst.instances[number].plan.set_peers(&peers);
            burst.push(1 + number as u64 % TICK_MS, Event::Tick(number));
        }
        burst.schedule_kills(options);
        let limit = u64::from(options.chunks) * CHUNK_MS * (count as u64 + 10);
        while let Some(Reverse((time, _, event))) = burst.queue.pop() {
            burst.now = time;
            burst.handle(event);
            burst.kill_drawers_if_due(options);
            if burst.is_done() || time > limit {
                break;
            }
        }
        burst
    }

    fn schedule_kills(&mut self, options: &Options) {
        let half_time = u64::from(options.chunks) * CHUNK_MS / 2;
        let mut random = StdRng::seed_from_u64(options.seed);
        let count = self.instances.len() * options.kill_percent / 100;
        for _ in 0..count {
            let number = random.random_range(0..self.instances.len());
            let time = random.random_range(1..half_time * 2);
            self.push(time, Event::Kill(number));
        }
    }

    fn kill_drawers_if_due(&mut self, options: &Options) {
        let due = u64::from(options.chunks) * options.kill_at_percent / 100;
        if options.kill_drawers == 0 || self.lost.is_some() || self.origin_sent < due {
            return;
        }
        for _ in 0..options.kill_drawers {
            let live = (0..self.instances.len()).filter(|number| !self.instances[*number].is_dead);
            let busiest = live.max_by_key(|number| self.unshared(&[*number]).0);
            self.instances[busiest.expect("an instance lives")].is_dead = true;
        }
        let killed: Vec<_> =
            (0..self.instances.len()).filter(|number| self.instances[*number].is_dead).collect();
        self.lost = Some(self.unshared(&killed));
        killed.into_iter().for_each(|number| self.kill(number));
    }

    /// The chunks that only these instances hold or fetch from the origin, and how many of them are
    /// being fetched.
    fn unshared(&self, numbers: &[usize]) -> (u64, u64) {
        let (mut count, mut in_flight) = (0, 0);
        let holds = |number: &usize, index| self.instances[*number].plan.held().contains(index);
        let fetches = |number: &usize, index| {
            let pending = self.instances[*number].plan.pending_fetches();
            pending.contains(&(index, ChunkSource::Origin))
        };
        let others: Vec<_> = (0..self.instances.len())
            .filter(|number| !numbers.contains(number) && !self.instances[*number].is_dead)
            .collect();
        for index in (0..self.instances[0].plan.manifest().chunk_count()).map(ChunkIndex) {
            let is_held = numbers.iter().any(|number| holds(number, index));
            let is_fetched = numbers.iter().any(|number| fetches(number, index));
            if (is_held || is_fetched) && !others.iter().any(|number| holds(number, index)) {
                count += 1;
                in_flight += u64::from(!is_held);
            }
        }
        (count, in_flight)
    }

    fn push(&mut self, time: u64, event: Event) {
        self.next_sequence += 1;
        self.queue.push(Reverse((time, self.next_sequence, event)));
    }

    fn is_done(&self) -> bool {
        self.instances.iter().all(|instance| instance.is_dead || instance.completed_at.is_some())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(agent) => self.tick(agent),
            Event::ChunkRequested { agent, holder, index } => {
                self.chunk_requested(agent, holder, index)
            }
            Event::ChunkArrived { agent, holder, index } => {
                self.chunk_arrived(agent, holder, index)
            }
            Event::ChunkRefused { agent, holder, index, is_busy } => {
                self.chunk_refused(agent, holder, index, is_busy)
            }
            Event::Kill(agent) => self.kill(agent),
        }
    }

    fn tick(&mut self, agent: usize) {
        if self.instances[agent].is_dead || self.instances[agent].completed_at.is_some() {
            return;
        }
        let now = Moment(self.now);
        self.time_planning(agent, |plan| {
            plan.expire_fetches(now);
        });
        let stale = self.instances[agent].plan.partners().stale_partners(now, Millis(CHUNK_MS));
        for id in stale {
            let holder = self.number_of_instance[&id];
            if self.instances[holder].is_dead {
                self.instances[agent].plan.record_peer_failure(now, &id);
            } else {
                self.receive_state(agent, holder);
                self.receive_state(holder, agent);
            }
        }
        self.fetch_next(agent);
        self.push(self.now + TICK_MS, Event::Tick(agent));
    }

    /// Passes the held chunks and the queue length of a holder to an agent.
    fn receive_state(&mut self, agent: usize, holder: usize) {
        let held: ChunkBitmap = self.instances[holder].plan.held().clone();
        let queue = self.instances[holder].uploads as u32;
        let id = self.peers[holder].id.clone();
        let now = Moment(self.now);
        self.time_planning(agent, |plan| plan.record_holdings(now, &id, held, queue));
    }

    fn fetch_next(&mut self, agent: usize) {
        let now = Moment(self.now);
        let mut fetches = Vec::new();
        self.time_planning(agent, |plan| fetches = plan.next_fetches(now));
        for fetch in fetches {
            let index = fetch.index.0;
            match fetch.source {
                ChunkSource::Origin => {
                    self.origin_free_at = self.origin_free_at.max(self.now) + CHUNK_MS / 2;
                    self.origin_sent += 1;
                    let time = self.reserve_downlink(agent, self.origin_free_at);
                    self.push(time, Event::ChunkArrived { agent, holder: None, index });
                }
                ChunkSource::Peer(id) | ChunkSource::Relay(id) => {
                    let holder = self.number_of_instance[&id];
                    let time = self.now + MESSAGE_MS;
                    self.push(time, Event::ChunkRequested { agent, holder, index });
                }
            }
        }
    }

    /// Reserves an agent's download link for a chunk that the sender has sent completely at `sent_at`,
    /// and returns when the chunk is received.
    fn reserve_downlink(&mut self, agent: usize, sent_at: u64) -> u64 {
        let instance = &mut self.instances[agent];
        instance.downlink_free_at = (instance.downlink_free_at + CHUNK_MS).max(sent_at);
        instance.downlink_free_at
    }

    fn chunk_requested(&mut self, agent: usize, holder: usize, index: u32) {
        // A dead holder does not answer, so the fetch times out.
        if self.instances[holder].is_dead || self.instances[agent].is_dead {
            return;
        }
        self.receive_state(holder, agent);
        let is_missing = !self.instances[holder].plan.held().contains(ChunkIndex(index));
        if is_missing || self.instances[holder].uploads >= UPLOAD_QUEUE_LIMIT {
            let is_busy = !is_missing;
            let time = self.now + MESSAGE_MS;
            self.push(time, Event::ChunkRefused { agent, holder, index, is_busy });
            return;
        }
        let instance = &mut self.instances[holder];
        instance.uploads += 1;
        instance.sent += 1;
        instance.uplink_free_at = instance.uplink_free_at.max(self.now) + CHUNK_MS;
        let sent_at = instance.uplink_free_at;
        let time = self.reserve_downlink(agent, sent_at);
        self.push(time, Event::ChunkArrived { agent, holder: Some(holder), index });
    }

    fn chunk_arrived(&mut self, agent: usize, holder: Option<usize>, index: u32) {
        let source = match holder {
            Some(holder) => {
                let instance = &mut self.instances[holder];
                instance.uploads = instance.uploads.saturating_sub(1);
                if instance.is_dead {
                    return;
                }
                self.receive_state(agent, holder);
                ChunkSource::Peer(self.peers[holder].id.clone())
            }
            None => ChunkSource::Origin,
        };
        self.finish_fetch(agent, index, &source, &FetchOutcome::Verified);
    }

    fn chunk_refused(&mut self, agent: usize, holder: usize, index: u32, is_busy: bool) {
        self.receive_state(agent, holder);
        let others = self.instances[holder].plan.partners().holders(ChunkIndex(index), 4);
        let outcome = if is_busy { FetchOutcome::Busy(others) } else { FetchOutcome::Missing };
        let source = ChunkSource::Peer(self.peers[holder].id.clone());
        self.finish_fetch(agent, index, &source, &outcome);
    }

    fn finish_fetch(
        &mut self,
        agent: usize,
        index: u32,
        source: &ChunkSource,
        outcome: &FetchOutcome,
    ) {
        if self.instances[agent].is_dead {
            return;
        }
        let now = Moment(self.now);
        self.time_planning(agent, |plan| {
            plan.record_outcome(now, ChunkIndex(index), source, outcome);
        });
        let instance = &mut self.instances[agent];
        if instance.plan.is_complete() {
            instance.completed_at.get_or_insert(self.now);
        } else {
            self.fetch_next(agent);
        }
    }

    fn kill(&mut self, agent: usize) {
        self.instances[agent].is_dead = true;
        let dead: Vec<_> = self.instances.iter().map(|instance| instance.is_dead).collect();
        let alive: Vec<_> = self
            .peers
            .iter()
            .zip(dead)
            .filter(|(_, is_dead)| !is_dead)
            .map(|(peer, _)| peer.clone())
            .collect();
        for instance in &mut self.instances {
            instance.plan.set_peers(&alive);
        }
    }

    fn time_planning(&mut self, agent: usize, step: impl FnOnce(&mut TransferPlan)) {
        let started = Instant::now();
        step(&mut self.instances[agent].plan);
        self.planning_time += started.elapsed();
    }

    fn print(&self, options: &Options) {
        let count = self.instances.len();
        let chunks = u64::from(options.chunks);
        let hops = 1.0 + (count as f64).log2().ceil();
        let bound = (chunks as f64 + hops) * CHUNK_MS as f64;
        let finished = self.instances.iter().filter_map(|instance| instance.completed_at).max();
        let share = |bytes: u64| bytes as f64 / chunks as f64;
        let worst = self.instances.iter().map(|instance| instance.sent).max().unwrap_or(0);
        let mean = self.instances.iter().map(|instance| instance.sent).sum::<u64>() / count as u64;
        let time = if self.is_done() { finished.unwrap_or(0) as f64 / bound } else { f64::NAN };
        let fetched = (count as u64 * chunks) as f64;
        let cost = self.planning_time.as_secs_f64() * 1e6 / fetched;
        // The simpler schemes: all instances fetch from the origin; a chain, in which each instance
        // sends to the next; a binary tree, in which each sends two copies over a link that carries
        // one at a time.
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
        if let Some((lost, in_flight)) = self.lost {
            println!("       lost chunks {lost}, in flight {in_flight}");
        }
    }
}

fn peer(number: usize) -> TransferPeer {
    let centre = format!("centre-{}", number % 7);
    TransferPeer {
        id: format!("instance-{number}").parse().expect("a valid name"),
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
