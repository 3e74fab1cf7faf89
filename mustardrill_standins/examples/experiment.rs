//! Simulates a load pattern with all mechanisms of the entries, and with each one switched off.
//!
//! `cargo run --release -p mustardrill_standins --example experiment -- PATTERN.ini [--seeds N]
//! [--settings ENTRY.ini] [--only NAME]... [--json FILE] [--plot FILE.svg]`

use std::collections::BTreeMap;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lexopt::prelude::*;
use mustardrill_core::direct::DirectSettings;
use mustardrill_entry::direct;
use mustardrill_runtime::settings::{SettingsOutcome, SettingsReader};
use mustardrill_standins::experiment::{
    DEFAULT_ENTRY_SETTINGS, LimitCount, LoadPattern, SecondCount, SimulationReport, simulate,
};
use mustardrill_types::Millis;
use plotters::prelude::*;
use serde::Serialize;

const HELP: &str = "\
experiment: plays a load pattern on the entries' reducers, with each mechanism and without it

Usage:
  experiment PATTERN.ini [OPTIONS]

Options:
  --seeds N            plays of each variant, by other callers (5)
  --settings ENTRY.ini the settings of an entry (docs/SETTINGS.md); those of a plain one otherwise
  --only NAME          this mechanism alone; may be given several times
  --json FILE          write all figures
  --plot FILE.svg      draw the seconds of the first play with all mechanisms
  -h, --help           this text
";

/// Longer than the prefill of all prompts that an engine can have queued.
const NO_LIMIT: Millis = Millis(1_000_000);

/// A mechanism of the entries, and the settings that switch it off.
struct MechanismSwitch {
    name: &'static str,
    off: fn(&mut DirectSettings),
}

const MECHANISMS: [MechanismSwitch; 8] = [
    MechanismSwitch { name: "waiting", off: |it| it.wait_limit = Millis(0) },
    MechanismSwitch { name: "one-ahead", off: |it| it.requests_ahead = 0 },
    MechanismSwitch { name: "reading-limit", off: |it| it.prefill_limit = NO_LIMIT },
    MechanismSwitch { name: "late-share", off: |it| it.late_slots_percent = 100 },
    MechanismSwitch { name: "in-time-share", off: |it| it.in_time_percent = 100 },
    MechanismSwitch { name: "ejection", off: |it| it.base_ejection = Millis(0) },
    MechanismSwitch { name: "others-load", off: |it| it.peer_load_timeout = Millis(0) },
    MechanismSwitch {
        name: "repeats",
        off: |it| (it.retry_share.ratio, it.retry_share.allowance) = (0.0, 0.0),
    },
];

struct Options {
    pattern: PathBuf,
    seeds: u64,
    settings: Option<PathBuf>,
    only: Vec<String>,
    json: Option<PathBuf>,
    plot: Option<PathBuf>,
}

/// The simulations of one variant, one for each seed.
#[derive(Serialize)]
struct VariantResult {
    /// The mechanism that is switched off; `None` with all of them on.
    without: Option<&'static str>,
    plays: Vec<SimulationReport>,
}

/// Mean over simulations, with the standard deviation.
struct MeanSpread {
    mean: f64,
    spread: f64,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let Some(options) = read_options()? else {
        print!("{HELP}");
        return Ok(());
    };
    let pattern = report_faults(LoadPattern::read(open_settings(&options.pattern)?))?;
    let reader = match &options.settings {
        Some(path) => open_settings(path)?,
        None => SettingsReader::read("plain entry", DEFAULT_ENTRY_SETTINGS)
            .map_err(|it| it.to_string())?,
    };
    let settings = report_faults(direct::read(reader))?.direct;
    let selected: Vec<_> = MECHANISMS.iter().filter(|it| options.includes(it.name)).collect();
    if let Some(unknown) = options.only.iter().find(|name| !is_mechanism(name)) {
        let known: Vec<_> = MECHANISMS.iter().map(|it| it.name).collect();
        return Err(format!("--only {unknown}: write one of {}", known.join(", ")).into());
    }
    let plays = (selected.len() as u64 + 1) * options.seeds;
    let mut started_count = 0;
    let mut variant = |without, settings: &DirectSettings| {
        let seeds = 1..=options.seeds;
        let plays = seeds.map(|seed| {
            started_count += 1;
            eprint!("\rplay {started_count} of {plays}");
            simulate(&pattern, settings, seed)
        });
        VariantResult { without, plays: plays.collect() }
    };
    let mut results = vec![variant(None, &settings)];
    for mechanism in selected {
        let mut settings = settings.clone();
        (mechanism.off)(&mut settings);
        results.push(variant(Some(mechanism.name), &settings));
    }
    eprintln!();
    print_table(&results);
    print_limits(&results[0]);
    print_silences(&results[0]);
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_vec_pretty(&results)?)?;
    }
    if let Some(path) = &options.plot {
        draw_chart(path, &results[0].plays[0].seconds)?;
    }
    Ok(())
}

impl Options {
    fn includes(&self, name: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|only| only == name)
    }
}

fn is_mechanism(name: &str) -> bool {
    MECHANISMS.iter().any(|it| it.name == name)
}

fn read_options() -> Result<Option<Options>, Box<dyn Error>> {
    let mut pattern = None;
    let (mut seeds, mut settings, mut only) = (5, None, Vec::new());
    let (mut json, mut plot) = (None, None);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seeds") => seeds = parser.value()?.parse()?,
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("only") => only.push(parser.value()?.string()?),
            Long("json") => json = Some(PathBuf::from(parser.value()?)),
            Long("plot") => plot = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => return Ok(None),
            Value(path) if pattern.is_none() => pattern = Some(PathBuf::from(path)),
            other => return Err(other.unexpected().into()),
        }
    }
    if seeds == 0 {
        return Err("--seeds 0: write 1 or more".into());
    }
    let pattern = pattern.ok_or("name a pattern, such as deploy/patterns/burst.ini; see --help")?;
    Ok(Some(Options { pattern, seeds, settings, only, json, plot }))
}

fn open_settings(path: &Path) -> Result<SettingsReader, Box<dyn Error>> {
    SettingsReader::open(path).map_err(|fault| fault.to_string().into())
}

fn report_faults<T>(outcome: SettingsOutcome<T>) -> Result<T, Box<dyn Error>> {
    outcome.warnings.iter().for_each(|warning| eprintln!("{warning}"));
    outcome.settings.map_err(|faults| {
        let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n").into()
    })
}

fn print_table(results: &[VariantResult]) {
    println!(
        "{:<16} {:>16} {:>9} {:>6} {:>8} {:>7} {:>9} {:>8} {:>6}",
        "without",
        "in time/possible",
        "worth it",
        "late",
        "refused",
        "failed",
        "fairness",
        "repeats",
        "ended"
    );
    let base: Vec<_> = results[0].plays.iter().map(SimulationReport::goodput).collect();
    for result in results {
        let mean_of =
            |value: fn(&SimulationReport) -> f64| MeanSpread::of(result.plays.iter().map(value));
        let share = |part: fn(&SimulationReport) -> u32| {
            let shares = result
                .plays
                .iter()
                .map(|it| f64::from(part(it)) / f64::from(it.total().asked.max(1)));
            MeanSpread::of(shares).mean
        };
        let goodput = mean_of(SimulationReport::goodput);
        // A seed gives the same callers in every variant, so simulations are compared seed by seed.
        let gain = result.plays.iter().zip(&base).map(|(it, base)| base - it.goodput());
        let gain = MeanSpread::of(gain);
        let gain = result.without.map_or(String::new(), |_| gain.to_string());
        println!(
            "{:<16} {:>16} {:>9} {:>6.3} {:>8.3} {:>7.3} {:>9.2} {:>8.0} {:>6.1}",
            result.without.unwrap_or("-"),
            goodput.to_string(),
            gain,
            share(|it| it.total().late),
            share(|it| it.total().refused),
            share(|it| it.total().failed),
            mean_of(SimulationReport::fairness).mean,
            mean_of(|it| f64::from(it.repeats)).mean,
            mean_of(|it| f64::from(it.engines_ended)).mean,
        );
    }
}

/// Prints what engines that limit their rate got, over all plays with all mechanisms.
fn print_limits(result: &VariantResult) {
    let mut by_rate = BTreeMap::<String, Vec<&LimitCount>>::new();
    for count in result.plays.iter().flat_map(|play| &play.limits) {
        by_rate.entry(format!("{:.2}", count.rate)).or_default().push(count);
    }
    for (rate, counts) in by_rate {
        let used = MeanSpread::of(counts.iter().map(|count| count.used));
        let largest = counts.iter().map(|count| count.largest).max().unwrap_or(0);
        println!("limit {rate}/s: {} engines, used {used}, at most {largest} in 4 s", counts.len());
    }
}

/// Prints what silences of engines led to, over all plays with all mechanisms.
fn print_silences(result: &VariantResult) {
    let sum = |part: fn(&SimulationReport) -> u32| result.plays.iter().map(part).sum::<u32>();
    let silences = sum(|it| it.silences);
    if silences == 0 {
        return;
    }
    println!(
        "silences {silences}, second attempts: {} sent, {} won, {} overtaken; runs beyond the first: \
         {}% of the requests; requests: {} whole, {} refused, {} cut, {} failed otherwise",
        sum(|it| it.backups_sent),
        sum(|it| it.backups_won),
        sum(|it| it.backups_overtaken),
        MeanSpread::of(result.plays.iter().map(SimulationReport::repeats_percent)),
        sum(|it| it.total().in_time + it.total().late),
        sum(|it| it.total().refused),
        sum(|it| it.total().cut),
        sum(|it| it.total().failed - it.total().cut),
    );
}

impl MeanSpread {
    fn of(values: impl Iterator<Item = f64>) -> Self {
        let values: Vec<_> = values.collect();
        let count = values.len().max(1) as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squared_deviations = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
        Self { mean, spread: (squared_deviations / count).sqrt() }
    }
}

impl std::fmt::Display for MeanSpread {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = format!("{:.3}±{:.3}", self.mean, self.spread);
        formatter.pad(&text)
    }
}

/// Draws the outcomes of the calls that arrived in each second, and the bound on timely answers.
fn draw_chart(path: &Path, seconds: &[SecondCount]) -> Result<(), Box<dyn Error>> {
    let max_asked = seconds.iter().map(|it| it.count.asked).max().unwrap_or(1);
    let area = SVGBackend::new(path, (900, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds.len() as f64, 0.0..f64::from(max_asked) * 1.1)?;
    chart.configure_mesh().x_desc("second").y_desc("requests").draw()?;
    type SecondValue = fn(&SecondCount) -> f64;
    let lines: [(&str, RGBColor, SecondValue); 5] = [
        ("asked", BLACK, |it| f64::from(it.count.asked)),
        ("possible in time", BLUE, |it| it.bound),
        ("in time", RGBColor(76, 159, 112), |it| f64::from(it.count.in_time)),
        ("late", RGBColor(224, 177, 60), |it| f64::from(it.count.late)),
        ("refused or failed", RED, |it| f64::from(it.count.refused + it.count.failed)),
    ];
    for (name, colour, value) in lines {
        let points = seconds.iter().enumerate().map(|(second, it)| (second as f64, value(it)));
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour);
        chart.draw_series(LineSeries::new(points, &colour))?.label(name).legend(legend);
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
