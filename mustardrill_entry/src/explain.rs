//! Collects the log lines of a request from the logs of several processes, with the state changes
//! that may have decided its course.

use std::collections::BTreeSet;

/// How long before a request's first line a state change may have affected it, in milliseconds.
const LOOK_BACK_MS: u64 = 8_000;

/// First words of the lines that log a change of a process's state.
const STATE_CHANGE_WORDS: [&str; 8] =
    ["config", "dependency", "ejection", "engine", "membership", "store", "weights", "order"];

/// One line of a log.
#[derive(Debug)]
struct LogLine<'a> {
    /// Milliseconds since the start of the day.
    at: u64,
    process: &'a str,
    /// The rest of the line after time, level and process.
    message: &'a str,
    /// The complete line.
    text: &'a str,
}

/// Returns the lines that explain the request `id`, in order of time. Empty if no line names it.
///
/// These are the request's own lines; state changes of the processes that handled it in the 8 s
/// before it and while it ran, as far as they concern its upstreams, the configuration, the weights
/// or the store; and from all processes the lines on the quarantine of its content or of parts of its
/// prompt and on the departure of one of its upstreams.
pub fn explain<'a>(id: &str, logs: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let texts = logs.into_iter().flat_map(str::lines);
    let lines: Vec<_> = texts.filter_map(LogLine::parse).collect();
    let request_lines: Vec<_> =
        lines.iter().filter(|line| line.field("request") == Some(id)).collect();
    let (Some(first), Some(last)) = (
        request_lines.iter().map(|line| line.at).min(),
        request_lines.iter().map(|line| line.at).max(),
    ) else {
        return Vec::new();
    };
    let processes: BTreeSet<_> = request_lines.iter().map(|line| line.process).collect();
    let upstreams: BTreeSet<_> =
        request_lines.iter().filter_map(|line| line.field("instance")).collect();
    let digest = request_lines.iter().find_map(|line| line.field("digest"));
    let group = request_lines
        .iter()
        .find(|line| line.field("decision") == Some("quarantine"))
        .and_then(|line| line.field("parts"));
    let is_relevant = |line: &&LogLine<'_>| {
        if line.message.starts_with("quarantine ") {
            let is_of_content = digest.is_some() && line.field("digest") == digest;
            let is_of_parts = group.is_some_and(|group| line.concerns_parts(group));
            return (is_of_content || is_of_parts) && line.at <= last;
        }
        if line.field("request").is_some() {
            return line.field("request") == Some(id);
        }
        let is_recent = line.at + LOOK_BACK_MS >= first && line.at <= last;
        let is_concerned = line.field("instance").is_none_or(|it| upstreams.contains(it));
        let is_local_change =
            processes.contains(line.process) && line.is_state_change() && is_concerned;
        let is_departure = line.is_departure() && is_concerned;
        is_recent && (is_local_change || is_departure)
    };
    let mut explaining_lines: Vec<_> = lines.iter().filter(is_relevant).collect();
    explaining_lines.sort_by_key(|line| line.at);
    explaining_lines.into_iter().map(|line| line.text).collect()
}

impl<'a> LogLine<'a> {
    /// Parses a line that starts with time, level and process; `None` for any other line.
    fn parse(text: &'a str) -> Option<Self> {
        let rest = &text[text.find("time=")?..];
        let (time, rest) = rest.strip_prefix("time=")?.split_once(' ')?;
        let (_, rest) = rest.split_once(' ')?;
        let (process, message) = rest.strip_prefix("process=")?.split_once(' ')?;
        Some(Self { at: millis_of_day(time)?, process, message, text })
    }

    fn field(&self, name: &str) -> Option<&'a str> {
        let fields = self.message.split(' ').filter_map(|field| field.split_once('='));
        fields.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Whether it names all of these parts, or nothing but some of them.
    fn concerns_parts(&self, group: &str) -> bool {
        let Some(parts) = self.field("parts") else { return false };
        let is_within = |inner: &str, outer: &str| {
            inner.split('+').all(|part| outer.split('+').any(|other| other == part))
        };
        is_within(group, parts) || is_within(parts, group)
    }

    /// Whether it logs that an upstream is draining or no longer listed.
    fn is_departure(&self) -> bool {
        let has_ended = matches!(self.field("outcome"), Some("gone" | "lapsed"));
        self.message.starts_with("membership ")
            && (has_ended || self.field("leaving") == Some("true"))
    }

    fn is_state_change(&self) -> bool {
        let word = self.message.split([' ', '=']).next().unwrap_or_default();
        STATE_CHANGE_WORDS.contains(&word)
    }
}

/// Parses a time such as `2026-10-05T23:22:40.007Z`.
fn millis_of_day(time: &str) -> Option<u64> {
    let clock = time.split_once('T')?.1.trim_end_matches('Z');
    let mut parts = clock.split([':', '.']).map(|part| part.parse::<u64>().ok());
    let (hours, minutes) = (parts.next()??, parts.next()??);
    let (seconds, millis) = (parts.next()??, parts.next()??);
    Some(((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis)
}
