//! An INI file read with the line of each section and key, so that errors can name them.

use derive_more::{Display, Error};
use ini::{Ini, ParseOption};

/// The sections of one INI file, in the file's order.
#[derive(Debug, Clone)]
pub struct IniFile {
    /// The file's name, for messages.
    pub name: Box<str>,
    /// The sections; keys before the first header stand in one without a name.
    pub sections: Vec<IniSection>,
}

/// One section of an INI file.
#[derive(Debug, Clone)]
pub struct IniSection {
    /// The text between the brackets.
    pub name: Box<str>,
    /// The line of the header, from one.
    pub line: usize,
    /// The keys, in the file's order.
    pub keys: Vec<IniKey>,
}

/// One key of a section.
#[derive(Debug, Clone)]
pub struct IniKey {
    /// The key.
    pub name: Box<str>,
    /// The value, without blanks around it.
    pub value: Box<str>,
    /// The line, from one.
    pub line: usize,
}

/// A file that does not read as INI.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{file}:{line}: not INI: {reason}; write [section] headers and key = value lines")]
pub struct IniError {
    file: Box<str>,
    line: usize,
    reason: Box<str>,
}

impl IniError {
    /// The line that does not read, from one.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl IniFile {
    /// Reads `text`; `name` is the file's name in messages.
    pub fn read(name: &str, text: &str) -> Result<Self, IniError> {
        let option = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let parsed = Ini::load_from_str_opt(text, option).map_err(|error| IniError {
            file: name.into(),
            line: error.line,
            reason: error.msg.into(),
        })?;
        let mut finder = LineFinder::new(text);
        let mut sections = Vec::new();
        for (title, properties) in parsed.iter() {
            if title.is_none() && properties.is_empty() {
                continue;
            }
            let title = title.unwrap_or("");
            if let Some((start, _)) = title.split_once('\n') {
                // The library takes a header without its bracket for one of several lines.
                let reason = format!("[{start} lacks its closing bracket").into();
                return Err(IniError {
                    file: name.into(),
                    line: finder.open_header(start),
                    reason,
                });
            }
            let line = finder.section(title);
            let keys = properties
                .iter()
                .map(|(key, value)| IniKey {
                    name: key.into(),
                    value: value.trim().into(),
                    line: finder.key(key),
                })
                .collect();
            sections.push(IniSection { name: title.into(), line, keys });
        }
        Ok(Self { name: name.into(), sections })
    }
}

impl IniSection {
    /// The last key of this name.
    pub fn key(&self, name: &str) -> Option<&IniKey> {
        self.keys.iter().rev().find(|key| &*key.name == name)
    }

    /// The first key that stands twice.
    pub fn duplicate(&self) -> Option<&IniKey> {
        self.keys.iter().enumerate().find_map(|(place, key)| {
            self.keys[..place].iter().any(|other| other.name == key.name).then_some(key)
        })
    }
}

/// The known name nearest to `name`, where one is near enough to be what was meant.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    const NEAR_ENOUGH: f64 = 0.7;
    known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(likeness, _)| *likeness >= NEAR_ENOUGH)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

/// "did you mean …" for a message, or nothing.
pub fn suggestion<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Box<str> {
    nearest(name, known).map_or("".into(), |near| format!("; did you mean {near}?").into())
}

/// Finds the lines of headers and keys, which the library does not tell.
struct LineFinder<'a> {
    lines: Vec<&'a str>,
    place: usize,
}

impl<'a> LineFinder<'a> {
    fn new(text: &'a str) -> Self {
        Self { lines: text.lines().map(str::trim).collect(), place: 0 }
    }

    fn section(&mut self, title: &str) -> usize {
        if title.is_empty() {
            return 1;
        }
        self.find(|line| {
            let inner = line.strip_prefix('[').and_then(|rest| rest.split(']').next());
            inner.is_some_and(|inner| inner.trim() == title)
        })
    }

    fn open_header(&mut self, start: &str) -> usize {
        self.find(|line| line.strip_prefix('[').is_some_and(|rest| rest.starts_with(start)))
    }

    fn key(&mut self, key: &str) -> usize {
        self.find(|line| {
            let rest = line.strip_prefix(key).map(str::trim_start);
            rest.is_some_and(|rest| rest.starts_with(['=', ':']))
        })
    }

    fn find(&mut self, matches: impl Fn(&str) -> bool) -> usize {
        let found = self.lines[self.place..].iter().position(|line| matches(line));
        // The library may hand out keys in another order than the file's; then look from the top.
        let place = found.map(|offset| self.place + offset);
        let place = place.or_else(|| self.lines.iter().position(|line| matches(line)));
        let Some(place) = place else { return self.place + 1 };
        self.place = place;
        place + 1
    }
}
