//! Parses INI files and records the line of each section and key for error messages.

use derive_more::{Display, Error};
use ini::{Ini, ParseOption};

/// A parsed INI file.
#[derive(Debug, Clone)]
pub struct IniFile {
    /// The file's name in error messages.
    pub name: Box<str>,
    /// The sections in the order of the file. Keys before the first header are in a section with an
    /// empty name.
    pub sections: Vec<IniSection>,
}

/// One section of an INI file.
#[derive(Debug, Clone)]
pub struct IniSection {
    /// The text between the brackets.
    pub name: Box<str>,
    /// The line of the header, from one.
    pub line: usize,
    /// The keys, in the order of the file.
    pub keys: Vec<IniKey>,
}

/// A key of a section with its value.
#[derive(Debug, Clone)]
pub struct IniKey {
    /// The text before the separator.
    pub name: Box<str>,
    /// The value, trimmed of surrounding whitespace.
    pub value: Box<str>,
    /// The line of the key, from one.
    pub line: usize,
}

/// The error for a file that is not valid INI.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{file}:{line}: not INI: {reason}; write [section] headers and key = value lines")]
pub struct IniError {
    file: Box<str>,
    line: usize,
    reason: Box<str>,
}

impl IniError {
    /// The line that could not be parsed, from one.
    pub fn line(&self) -> usize {
        self.line
    }
}

impl IniFile {
    /// Parses `text`; `name` is the file's name in error messages.
    ///
    /// Backslashes in values are not escapes.
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
                // The parser accepts a header that spans lines, so one without its closing bracket
                // shows up as a title with a line break.
                let reason = format!("[{start} lacks its closing bracket").into();
                return Err(IniError {
                    file: name.into(),
                    line: finder.find_unclosed_header(start),
                    reason,
                });
            }
            let line = finder.find_section(title);
            let keys = properties
                .iter()
                .map(|(key, value)| IniKey {
                    name: key.into(),
                    value: value.trim().into(),
                    line: finder.find_key(key),
                })
                .collect();
            sections.push(IniSection { name: title.into(), line, keys });
        }
        Ok(Self { name: name.into(), sections })
    }
}

impl IniSection {
    /// The last key with this name.
    pub fn key(&self, name: &str) -> Option<&IniKey> {
        self.keys.iter().rev().find(|key| &*key.name == name)
    }

    /// The first key that repeats the name of an earlier one.
    pub fn first_duplicate(&self) -> Option<&IniKey> {
        self.keys.iter().enumerate().find_map(|(index, key)| {
            self.keys[..index].iter().any(|other| other.name == key.name).then_some(key)
        })
    }
}

/// The known name most similar to `name`, if one is similar enough to suggest.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    // Jaro-Winkler similarity, from 0 (unlike) to 1 (equal).
    const MIN_SIMILARITY: f64 = 0.7;
    known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

/// Returns "; did you mean …?" to append to a message, or an empty text if no known name is
/// similar.
pub fn suggestion<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Box<str> {
    nearest(name, known).map_or("".into(), |near| format!("; did you mean {near}?").into())
}

/// Finds the line numbers of headers and keys, which the parser does not report.
struct LineFinder<'a> {
    lines: Vec<&'a str>,
    search_start: usize,
}

impl<'a> LineFinder<'a> {
    fn new(text: &'a str) -> Self {
        Self { lines: text.lines().map(str::trim).collect(), search_start: 0 }
    }

    fn find_section(&mut self, title: &str) -> usize {
        if title.is_empty() {
            return 1;
        }
        self.find_line(|line| {
            let inner = line.strip_prefix('[').and_then(|rest| rest.split(']').next());
            inner.is_some_and(|inner| inner.trim() == title)
        })
    }

    fn find_unclosed_header(&mut self, start: &str) -> usize {
        self.find_line(|line| line.strip_prefix('[').is_some_and(|rest| rest.starts_with(start)))
    }

    fn find_key(&mut self, key: &str) -> usize {
        self.find_line(|line| {
            let rest = line.strip_prefix(key).map(str::trim_start);
            rest.is_some_and(|rest| rest.starts_with(['=', ':']))
        })
    }

    /// Searches from the line of the last match on; returns the line number, from one.
    fn find_line(&mut self, matches: impl Fn(&str) -> bool) -> usize {
        let found = self.lines[self.search_start..].iter().position(|line| matches(line));
        // The parser may return keys in another order than the file's; if nothing matches from here
        // on, search from the first line.
        let index = found.map(|offset| self.search_start + offset);
        let index = index.or_else(|| self.lines.iter().position(|line| matches(line)));
        let Some(index) = index else { return self.search_start + 1 };
        self.search_start = index;
        index + 1
    }
}
