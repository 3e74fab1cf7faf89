//! A load pattern: who asks for what, of which fleet, and what goes wrong meanwhile.

use std::str::FromStr;

use derive_more::Display;
use mustardrill_core::direct::{EngineProfile, ModelProfile};
use mustardrill_runtime::settings::{SettingsOutcome, SettingsReader};
use mustardrill_types::{Millis, ModelName};

/// The model that all callers ask for.
pub(crate) const MODEL: &str = "m0";

/// A pattern as its file says it.
#[derive(Debug, Clone)]
pub struct LoadPattern {
    /// How long callers come.
    pub span: Millis,
    /// Entries, asked evenly.
    pub entries: u32,
    /// Engines, all alike.
    pub engines: u32,
    /// How an engine works.
    pub profile: EngineProfile,
    /// Prompt tokens that an engine reads in one step.
    pub chunk: u32,
    /// The way of a word, a request or an event, each way.
    pub way: Millis,
    /// The share of words between entries that are lost.
    pub word_loss: f64,
    /// Who calls.
    pub kinds: Vec<CallerKind>,
    /// What goes wrong.
    pub disturbances: Vec<PatternDisturbance>,
}

/// Callers of one kind.
#[derive(Debug, Clone)]
pub struct CallerKind {
    /// Its name.
    pub name: Box<str>,
    /// Requests a second.
    pub rate: f64,
    /// Mean tokens of a prompt; each is between half and one and a half of that.
    pub prompt: u32,
    /// Tokens of an answer.
    pub answer: u32,
    /// Within this the first event is in time.
    pub objective: Millis,
    /// The longest pause between events that is in time.
    pub gap: Millis,
    /// When a caller leaves.
    pub deadline: Millis,
    /// The rank; zero is the most urgent.
    pub priority: u8,
    /// How often a caller comes back.
    pub returns: u32,
    /// Whether each engine that begins to run such a request ends.
    pub ends_engines: bool,
}

/// Something that goes wrong for a while.
#[derive(Debug, Clone)]
pub struct PatternDisturbance {
    /// Its name.
    pub name: Box<str>,
    /// What.
    pub kind: DisturbanceKind,
    /// When it begins.
    pub at: Millis,
    /// How long it lasts.
    pub span: Millis,
    /// The share of the engines that it concerns.
    pub share: f64,
    /// How strong it is: so many times the requests, or the time that work takes.
    pub factor: f64,
}

/// What goes wrong.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// More requests come.
    #[display("burst")]
    Burst,
    /// Engines end, and start again at its end.
    #[display("crash")]
    Crash,
    /// Engines take longer.
    #[display("slow")]
    Slow,
}

impl FromStr for DisturbanceKind {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Box<str>> {
        match text {
            "burst" => Ok(Self::Burst),
            "crash" => Ok(Self::Crash),
            "slow" => Ok(Self::Slow),
            _ => Err("write burst, crash or slow".into()),
        }
    }
}

impl LoadPattern {
    /// Reads and checks a pattern.
    pub fn read(mut reader: SettingsReader) -> SettingsOutcome<Self> {
        let kinds: Vec<_> = reader
            .sections("kind ")
            .iter()
            .map(|section| CallerKind::read(&mut reader, section))
            .collect();
        if kinds.is_empty() {
            reader.fault(1, "nobody calls; add a section [kind NAME] with a rate");
        }
        let disturbances = reader.sections("disturbance ");
        let disturbances =
            disturbances.iter().map(|section| PatternDisturbance::read(&mut reader, section));
        let disturbances = disturbances.collect();
        let pattern = Self {
            span: reader.value("pattern", "span", Millis(20_000)),
            entries: reader.bounded("fleet", "entries", 4, 1, 1_000),
            engines: reader.bounded("fleet", "engines", 9, 1, 10_000),
            chunk: reader.bounded("engine", "chunk", 512, 1, 1_000_000),
            way: reader.value("fleet", "way", Millis(2)),
            word_loss: reader.bounded("fleet", "word_loss", 0.0, 0.0, 1.0),
            profile: read_profile(&mut reader, &kinds),
            kinds,
            disturbances,
        };
        reader.finish(pattern)
    }

    /// Requests a second at a moment of the pattern.
    pub(crate) fn rate_factor(&self, at: Millis) -> f64 {
        let bursts = self.disturbances.iter().filter(|it| it.kind == DisturbanceKind::Burst);
        bursts.filter(|it| it.is_on(at)).map(|it| it.factor).product()
    }

    /// The engines that run at a moment, each slow one as the part that it does.
    pub(crate) fn engines_at(&self, at: Millis) -> f64 {
        let lost = |it: &PatternDisturbance| match it.kind {
            DisturbanceKind::Crash => it.share,
            DisturbanceKind::Slow => it.share * (1.0 - 1.0 / it.factor.max(1.0)),
            DisturbanceKind::Burst => 0.0,
        };
        let on = self.disturbances.iter().filter(|it| it.is_on(at));
        let left = on.map(|it| 1.0 - lost(it)).product::<f64>();
        f64::from(self.engines) * left
    }
}

impl CallerKind {
    fn read(reader: &mut SettingsReader, section: &str) -> Self {
        let name = section.trim_start_matches("kind ").trim();
        Self {
            name: name.into(),
            rate: reader.bounded(section, "rate", 10.0, 0.0, 1_000_000.0),
            prompt: reader.bounded(section, "prompt", 800, 1, 1_000_000),
            answer: reader.bounded(section, "answer", 100, 1, 100_000),
            objective: reader.value(section, "objective", Millis(400)),
            gap: reader.value(section, "gap", Millis(300)),
            deadline: reader.value(section, "deadline", Millis(6_000)),
            priority: reader.bounded(section, "priority", 1, 0, 9),
            returns: reader.bounded(section, "returns", 1, 0, 100),
            ends_engines: reader.value(section, "ends_engines", false),
        }
    }
}

impl PatternDisturbance {
    fn read(reader: &mut SettingsReader, section: &str) -> Self {
        let kind = reader.required(section, "kind", "burst, crash or slow", DisturbanceKind::Burst);
        Self {
            name: section.trim_start_matches("disturbance ").trim().into(),
            kind,
            at: reader.value(section, "at", Millis(5_000)),
            span: reader.value(section, "for", Millis(5_000)),
            share: reader.bounded(section, "share", 0.3, 0.0, 1.0),
            factor: reader.bounded(section, "factor", 2.0, 0.0, 100.0),
        }
    }

    pub(crate) fn is_on(&self, at: Millis) -> bool {
        self.at <= at && at < Millis(self.at.0 + self.span.0)
    }
}

fn read_profile(reader: &mut SettingsReader, kinds: &[CallerKind]) -> EngineProfile {
    let model: ModelName = MODEL.parse().expect("a valid name");
    let models = vec![ModelProfile { name: model, load_time: Millis(300) }];
    let rate: f64 = kinds.iter().map(|kind| kind.rate).sum();
    let mean = |of: fn(&CallerKind) -> u32| {
        let sum: f64 = kinds.iter().map(|kind| kind.rate * f64::from(of(kind))).sum();
        (sum / rate.max(f64::MIN_POSITIVE)) as u32
    };
    EngineProfile {
        slots: reader.bounded("engine", "slots", 16, 1, 10_000),
        steps_per_pass: reader.bounded("engine", "stride", 6, 1, 1_000),
        step_ms: reader.bounded("engine", "step_ms", 6.73, 0.001, 10_000.0),
        step_ms_per_request: reader.bounded("engine", "request_ms", 0.1, 0.0, 1_000.0),
        prefill_tokens_per_ms: reader.bounded("engine", "read_per_ms", 30.6, 0.001, 1e6),
        prefill_ms_per_million_pairs: reader.bounded("engine", "pairs_ms", 0.0, 0.0, 1e6),
        mean_prompt: mean(|kind| kind.prompt),
        mean_answer: mean(|kind| kind.answer),
        models,
        ..EngineProfile::default()
    }
}
