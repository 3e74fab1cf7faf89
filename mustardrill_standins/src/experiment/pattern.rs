//! Load patterns: kinds of callers, the fleet that serves them, and disturbances meanwhile.

use std::str::FromStr;

use derive_more::Display;
use mustardrill_core::direct::{EngineForecast, EngineProfile, ModelProfile};
use mustardrill_runtime::settings::{SettingsOutcome, SettingsReader};
use mustardrill_types::{Millis, ModelName};

/// The only model of a pattern; all callers request it.
pub(crate) const MODEL: &str = "m0";

/// The longest silence that a pattern may contain.
const LONGEST_SILENCE: Millis = Millis(600_000);

/// A load pattern, read from a file such as `deploy/patterns/burst.ini`.
#[derive(Debug, Clone)]
pub struct LoadPattern {
    /// How long callers keep arriving; the simulation goes on until their calls end.
    pub span: Millis,
    /// Number of entries; each caller picks one at random.
    pub entries: u32,
    /// Number of engines, all with the same profile.
    pub engines: u32,
    /// Speed and slots of each engine; load times and mean sizes are derived from the pattern.
    pub profile: EngineProfile,
    /// Prompt tokens that an engine prefills at most in one step.
    pub prefill_chunk: u32,
    /// One-way delay of every message, request and event.
    pub one_way_delay: Millis,
    /// Share of messages between entries that are lost, from 0 to 1.
    pub message_loss: f64,
    /// The kinds of callers, at least one.
    pub kinds: Vec<CallerKind>,
    /// The silences within answers.
    pub silences: PatternSilences,
    /// The disturbances, each with a start and a duration.
    pub disturbances: Vec<PatternDisturbance>,
}

/// Callers with the same rate, request sizes and limits: a section `[kind NAME]`.
#[derive(Debug, Clone)]
pub struct CallerKind {
    /// The name in the section's title.
    pub name: Box<str>,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Mean prompt tokens; each prompt has between 0.5 and 1.5 times as many.
    pub prompt: u32,
    /// Tokens of each answer.
    pub answer: u32,
    /// The first event is late after this time.
    pub objective: Millis,
    /// An event is late when it comes this long after the event before it.
    pub gap: Millis,
    /// The caller leaves this long after its arrival.
    pub deadline: Millis,
    /// Priority from 0, the most urgent, to 9.
    pub priority: u8,
    /// How often a caller retries after a refusal.
    pub retry_limit: u32,
    /// Whether such a request crashes each engine that starts to answer it.
    pub crashes_engines: bool,
}

/// Silences of sound engines, which go on after them: the section `[silence]`.
#[derive(Debug, Clone)]
pub struct PatternSilences {
    /// Share of the answers with one silence at a random event, from 0 to 1.
    pub share: f64,
    /// The shortest silence; all lengths up to `longest` are equally likely.
    pub shortest: Millis,
    /// The longest silence.
    pub longest: Millis,
}

/// A temporary change of the load or of some engines: a section `[disturbance NAME]`.
#[derive(Debug, Clone)]
pub struct PatternDisturbance {
    /// The name in the section's title.
    pub name: Box<str>,
    /// What changes.
    pub kind: DisturbanceKind,
    /// Start, counted from the start of the pattern.
    pub at: Millis,
    /// Duration.
    pub span: Millis,
    /// Share of the engines affected, from 0 to 1, chosen at random; no effect on a burst.
    pub share: f64,
    /// Factor on the request rate (burst) or on the duration of the engines' passes (slow); the
    /// requests per second that an engine accepts (limit); the share of its requests for which it
    /// sends nothing, 1 and more for all (silent).
    pub factor: f64,
}

/// The kinds of disturbances.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// The request rate of all kinds is multiplied by the factor.
    #[display("burst")]
    Burst,
    /// Engines state that they accept only so many requests per second.
    #[display("limit")]
    Limit,
    /// Engines crash, and start again when the disturbance ends.
    #[display("crash")]
    Crash,
    /// Passes of the affected engines take longer by the factor.
    #[display("slow")]
    Slow,
    /// Engines send nothing for some requests until the disturbance ends, and go on then.
    #[display("silent")]
    Silent,
}

impl FromStr for DisturbanceKind {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Box<str>> {
        match text {
            "burst" => Ok(Self::Burst),
            "crash" => Ok(Self::Crash),
            "limit" => Ok(Self::Limit),
            "silent" => Ok(Self::Silent),
            "slow" => Ok(Self::Slow),
            _ => Err("write burst, crash, limit, silent or slow".into()),
        }
    }
}

impl LoadPattern {
    /// Reads and checks a pattern; the outcome lists every fault by file, line and key.
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
            prefill_chunk: reader.bounded("engine", "chunk", 512, 1, 1_000_000),
            one_way_delay: reader.value("fleet", "way", Millis(2)),
            message_loss: reader.bounded("fleet", "word_loss", 0.0, 0.0, 1.0),
            profile: read_profile(&mut reader, &kinds),
            silences: PatternSilences::read(&mut reader),
            kinds,
            disturbances,
        };
        reader.finish(pattern)
    }

    /// The factor on all request rates at a moment: the product of the active bursts.
    pub(crate) fn rate_factor(&self, at: Millis) -> f64 {
        let bursts = self.disturbances.iter().filter(|it| it.kind == DisturbanceKind::Burst);
        bursts.filter(|it| it.is_active(at)).map(|it| it.factor).product()
    }

    /// The requests of mean size that one engine completes per second.
    pub(crate) fn engine_rate(&self) -> f64 {
        let forecast = EngineForecast::new(&self.profile);
        let service_ms = forecast.service_ms(self.profile.slots, forecast.usual_size());
        f64::from(self.profile.slots) * 1_000.0 / service_ms.max(1.0)
    }

    /// The engines running at a moment, a slow or limited one counted by what it completes.
    pub(crate) fn effective_engines(&self, at: Millis) -> f64 {
        let lost_share = |it: &PatternDisturbance| match it.kind {
            DisturbanceKind::Limit => {
                it.share * (1.0 - it.factor / self.engine_rate()).clamp(0.0, 1.0)
            }
            DisturbanceKind::Crash => it.share,
            DisturbanceKind::Slow => it.share * (1.0 - 1.0 / it.factor.max(1.0)),
            DisturbanceKind::Silent => it.share * it.factor.min(1.0),
            DisturbanceKind::Burst => 0.0,
        };
        let active = self.disturbances.iter().filter(|it| it.is_active(at));
        let remaining = active.map(|it| 1.0 - lost_share(it)).product::<f64>();
        f64::from(self.engines) * remaining
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
            retry_limit: reader.bounded(section, "returns", 1, 0, 100),
            crashes_engines: reader.value(section, "ends_engines", false),
        }
    }
}

impl PatternSilences {
    fn read(reader: &mut SettingsReader) -> Self {
        let shortest =
            reader.bounded("silence", "shortest", Millis(300), Millis(1), LONGEST_SILENCE);
        let longest = shortest.max(Millis(3_000));
        Self {
            share: reader.bounded("silence", "share", 0.0, 0.0, 1.0),
            shortest,
            longest: reader.bounded("silence", "longest", longest, shortest, LONGEST_SILENCE),
        }
    }
}

impl PatternDisturbance {
    fn read(reader: &mut SettingsReader, section: &str) -> Self {
        let expected = "burst, crash, limit, silent or slow";
        let kind = reader.required(section, "kind", expected, DisturbanceKind::Burst);
        Self {
            name: section.trim_start_matches("disturbance ").trim().into(),
            kind,
            at: reader.value(section, "at", Millis(5_000)),
            span: reader.value(section, "for", Millis(5_000)),
            share: reader.bounded(section, "share", 0.3, 0.0, 1.0),
            factor: reader.bounded(section, "factor", 2.0, 0.0, 100.0),
        }
    }

    pub(crate) fn is_active(&self, at: Millis) -> bool {
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
