//! Settings files in INI format. Every value is checked at start, and each error names the file,
//! the line, the key and a remedy.

use std::fmt::Display;
use std::path::Path;
use std::str::FromStr;

use derive_more::Display as DeriveDisplay;
use mustardrill_core::ini_file::{IniFile, IniKey, suggestion};

/// An error or warning about a settings file.
#[derive(Debug, DeriveDisplay, Clone, PartialEq, Eq)]
#[display("{file}:{line}: {message}")]
pub struct SettingsFault {
    /// Path of the file as given.
    pub file: Box<str>,
    /// Line number, counted from one; zero if no line is known.
    pub line: usize,
    /// Section, key and value, and what would be valid.
    pub message: Box<str>,
}

/// Reads checked values from a settings file and collects all faults, so that one run reports them
/// all.
#[derive(Debug)]
pub struct SettingsReader {
    file: IniFile,
    known: Vec<(Box<str>, Box<str>)>,
    free_form_sections: Vec<Box<str>>,
    faults: Vec<SettingsFault>,
}

/// Result of reading a settings file.
#[derive(Debug)]
pub struct SettingsOutcome<T> {
    /// The values, or all faults if there are any.
    pub settings: Result<T, Vec<SettingsFault>>,
    /// Unknown sections and keys, each with the most similar known name.
    pub warnings: Vec<SettingsFault>,
}

/// Kind of platform that a process runs on.
#[derive(Debug, DeriveDisplay, Clone, Copy, PartialEq, Eq)]
pub enum PlatformKind {
    /// The platform that this project specifies itself; entries reach upstreams through agents.
    #[display("own")]
    Own,
    /// Entries send requests directly to upstreams.
    #[display("prepared")]
    Prepared,
}

impl FromStr for PlatformKind {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Box<str>> {
        match text {
            "own" => Ok(Self::Own),
            "prepared" => Ok(Self::Prepared),
            _ => Err("write own or prepared".into()),
        }
    }
}

impl SettingsReader {
    /// Returns the kind of platform in the settings, which decides which other keys are required.
    /// Without a valid value it is [`PlatformKind::Own`].
    pub fn platform(&self, section: &str) -> PlatformKind {
        let found = self.find(section, "platform");
        found.and_then(|key| key.value.parse().ok()).unwrap_or(PlatformKind::Own)
    }

    /// Reads and parses a file; the fault tells why it can't be read or parsed.
    pub fn open(path: &Path) -> Result<Self, SettingsFault> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| SettingsFault {
            file: name.as_str().into(),
            line: 0,
            message: format!("can't be read: {error}; name a file with --settings").into(),
        })?;
        Self::read(&name, &text)
    }

    /// Parses `text`; `name` is the file name in faults.
    pub fn read(name: &str, text: &str) -> Result<Self, SettingsFault> {
        let file = IniFile::read(name, text).map_err(|error| SettingsFault {
            file: name.into(),
            line: error.line(),
            message: error.to_string().into(),
        })?;
        let mut reader =
            Self { file, known: Vec::new(), free_form_sections: Vec::new(), faults: Vec::new() };
        reader.check_duplicates();
        Ok(reader)
    }

    /// Reads a value; a missing or invalid one is replaced by `default`, and an invalid one is
    /// reported as a fault.
    pub fn value<T: FromStr<Err: Display>>(&mut self, section: &str, key: &str, default: T) -> T {
        self.optional(section, key).unwrap_or(default)
    }

    /// Reads a value; a missing or invalid one yields `None`, and an invalid one is reported as a
    /// fault.
    pub fn optional<T: FromStr<Err: Display>>(&mut self, section: &str, key: &str) -> Option<T> {
        self.known.push((section.into(), key.into()));
        let found = self.find(section, key)?.clone();
        match found.value.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let error: T::Err = error;
                self.fault(found.line, format!("[{section}] {key} = {}: {error}", found.value));
                None
            }
        }
    }

    /// Reads a mandatory value. If it is missing or invalid, a fault is reported and `default` is
    /// returned, so that reading can go on. `expected` is the example shown in the fault.
    pub fn required<T: FromStr<Err: Display>>(
        &mut self,
        section: &str,
        key: &str,
        expected: &str,
        default: T,
    ) -> T {
        let value = self.optional(section, key);
        if value.is_none() && self.find(section, key).is_none() {
            let line = self.section_line(section);
            self.fault(line, format!("[{section}] {key} is missing; write {key} = {expected}"));
        }
        value.unwrap_or(default)
    }

    /// Reads a value with a default; a value outside `least..=most` is reported as a fault.
    pub fn bounded<T>(&mut self, section: &str, key: &str, default: T, least: T, most: T) -> T
    where
        T: FromStr<Err: Display> + PartialOrd + Display + Copy,
    {
        let value = self.value(section, key, default);
        if value < least || value > most {
            let line = self.find(section, key).map_or(0, |found| found.line);
            let message = format!("[{section}] {key} = {value}: write {least} to {most}");
            self.fault(line, message);
        }
        value
    }

    /// Returns all keys of a section whose keys are chosen by the operator, such as customers. They
    /// cause no warnings about unknown keys.
    pub fn names(&mut self, section: &str) -> Vec<IniKey> {
        self.free_form_sections.push(section.into());
        let found = self.file.sections.iter().filter(|found| &*found.name == section);
        found.flat_map(|found| found.keys.iter().cloned()).collect()
    }

    /// Returns the names of the sections that start with `prefix`, in the file's order.
    pub fn sections(&self, prefix: &str) -> Vec<Box<str>> {
        let names = self.file.sections.iter().map(|section| section.name.clone());
        names.filter(|name| name.starts_with(prefix)).collect()
    }

    /// Reports a fault, such as one found by a check of the caller.
    pub fn fault(&mut self, line: usize, message: impl Into<Box<str>>) {
        let file = self.file.name.clone();
        self.faults.push(SettingsFault { file, line, message: message.into() });
    }

    /// Finishes reading. Returns `settings` if there are no faults, and a warning for each section
    /// and key that was never read.
    pub fn finish<T>(self, settings: T) -> SettingsOutcome<T> {
        let warnings = self.unknown_keys();
        let settings = if self.faults.is_empty() { Ok(settings) } else { Err(self.faults) };
        SettingsOutcome { settings, warnings }
    }

    fn find(&self, section: &str, key: &str) -> Option<&IniKey> {
        let mut sections = self.file.sections.iter().filter(|found| &*found.name == section);
        sections.find_map(|found| found.key(key))
    }

    fn section_line(&self, section: &str) -> usize {
        let found = self.file.sections.iter().find(|found| &*found.name == section);
        found.map_or(1, |found| found.line)
    }

    fn check_duplicates(&mut self) {
        let duplicates: Vec<_> = self
            .file
            .sections
            .iter()
            .filter_map(|section| Some((section.name.clone(), section.first_duplicate()?.clone())))
            .collect();
        for (section, key) in duplicates {
            let message = format!("[{section}] {} stands twice; keep one line", key.name);
            self.fault(key.line, message);
        }
    }

    fn unknown_keys(&self) -> Vec<SettingsFault> {
        let mut warnings = Vec::new();
        let known_sections: Vec<&str> = self
            .known
            .iter()
            .map(|(section, _)| &**section)
            .chain(self.free_form_sections.iter().map(|section| &**section))
            .collect();
        for section in &self.file.sections {
            let mut warn = |line, message: String| {
                let file = self.file.name.clone();
                warnings.push(SettingsFault { file, line, message: message.into() });
            };
            if !known_sections.contains(&&*section.name) {
                let near = suggestion(&section.name, known_sections.iter().copied());
                warn(section.line, format!("[{}] is not a known section{near}", section.name));
                continue;
            }
            if self.free_form_sections.contains(&section.name) {
                continue;
            }
            let keys: Vec<&str> = self
                .known
                .iter()
                .filter(|(of, _)| *of == section.name)
                .map(|(_, key)| &**key)
                .collect();
            for key in section.keys.iter().filter(|key| !keys.contains(&&*key.name)) {
                let near = suggestion(&key.name, keys.iter().copied());
                warn(key.line, format!("[{}] {} is not a known key{near}", section.name, key.name));
            }
        }
        warnings
    }
}
