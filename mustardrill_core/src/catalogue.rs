//! The operator's file: catalogue entries as INI, read into drafts and written from a document.

use std::fmt::Write;
use std::str::FromStr;

use mustardrill_types::{CustomerName, FastSet, Generation, ModelName, ServiceName, VersionName};

use crate::document::{CallerSet, CatalogueDocument, CatalogueEntry, CustomerLimits, RequestClass};
use crate::ini_file::{IniFile, IniKey, IniSection, suggestion};
use crate::rule::{EditRefusal, EditRule};

/// The keys of an entry, in the order in which they are written.
const KEYS: [&str; 9] = [
    "revision",
    "service",
    "owner",
    "class",
    "callers",
    "requests_per_second",
    "in_flight",
    "version",
    "replicas",
];

/// The keys that only a model has.
const WEIGHT_KEYS: [&str; 2] = ["version", "replicas"];

/// The words that begin a section's header.
const KINDS: [&str; 3] = ["model", "plain", "remove"];

/// One section of the operator's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryDraft {
    /// The entry.
    pub name: ModelName,
    /// The header's line.
    pub line: usize,
    /// The revision the edit was made from.
    pub base: Option<Generation>,
    /// What the entry is to say; nothing where it is to be removed.
    pub content: Option<DraftContent>,
}

/// What a drafted entry is to say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DraftContent {
    /// The service whose upstreams serve it.
    pub service: ServiceName,
    /// The operator who may edit it.
    pub owner: Box<str>,
    /// Which requests go first.
    pub class: RequestClass,
    /// Who may call it.
    pub callers: CallerSet,
    /// The limits of each customer.
    pub limits: CustomerLimits,
    /// Version and replicas, for a model.
    pub weights: Option<(VersionName, u32)>,
}

/// Reads the operator's file; all that is wrong with it is returned together.
pub fn read_drafts(file: &str, text: &str) -> Result<Vec<EntryDraft>, Vec<EditRefusal>> {
    let parsed = IniFile::read(file, text).map_err(|error| {
        vec![EditRefusal::new(file, error.line(), EditRule::UnreadableFile, error.to_string())]
    })?;
    let mut refusals = Vec::new();
    let mut drafts: Vec<EntryDraft> = Vec::new();
    for section in &parsed.sections {
        let mut reader = SectionReader { section, refusals: &mut refusals };
        let Some(draft) = reader.read() else { continue };
        if drafts.iter().any(|other| other.name == draft.name) {
            reader.refuse(section.line, EditRule::DuplicateEntry, "stands twice in the file");
            continue;
        }
        drafts.push(draft);
    }
    if refusals.is_empty() && drafts.is_empty() {
        refusals.push(EditRefusal::new(file, 1, EditRule::EmptyFile, "no entry in the file"));
    }
    if refusals.is_empty() { Ok(drafts) } else { Err(refusals) }
}

/// Writes the entries of a document as an operator's file.
pub fn write_document(document: &CatalogueDocument) -> String {
    let mut text = format!("; generation {}\n", document.generation);
    for (name, entry) in &document.entries {
        text.push('\n');
        text.push_str(&write_entry(name, entry));
    }
    text
}

/// Writes one entry as a section of an operator's file.
pub fn write_entry(name: &ModelName, entry: &CatalogueEntry) -> String {
    let kind = if entry.weights.is_some() { "model" } else { "plain" };
    let mut text = format!("[{kind} {name}]\n");
    let mut line = |key: &str, value: &dyn std::fmt::Display| {
        writeln!(text, "{key} = {value}").expect("a string takes all text");
    };
    line("revision", &entry.revision);
    line("service", &entry.service);
    line("owner", &entry.owner);
    line("class", &entry.class);
    line("callers", &write_callers(&entry.callers));
    line("requests_per_second", &entry.limits.requests_per_second);
    line("in_flight", &entry.limits.in_flight);
    if let Some(weights) = &entry.weights {
        line("version", &weights.version);
        line("replicas", &weights.replicas);
    }
    text
}

fn write_callers(callers: &CallerSet) -> String {
    match callers {
        CallerSet::All => "all".into(),
        CallerSet::Only(names) if names.is_empty() => "none".into(),
        CallerSet::Only(names) => {
            names.iter().map(CustomerName::as_str).collect::<Vec<_>>().join(", ")
        }
    }
}

struct SectionReader<'a> {
    section: &'a IniSection,
    refusals: &'a mut Vec<EditRefusal>,
}

impl SectionReader<'_> {
    fn read(&mut self) -> Option<EntryDraft> {
        let before = self.refusals.len();
        let (kind, name) = self.header()?;
        self.check_keys(kind);
        let base = self.number::<u64>("revision", false).map(Generation);
        let content = if kind == "remove" { None } else { self.content(kind == "model") };
        if self.refusals.len() > before {
            return None;
        }
        Some(EntryDraft { name, line: self.section.line, base, content })
    }

    fn header(&mut self) -> Option<(&'static str, ModelName)> {
        let title = self.section.name.clone();
        let (word, rest) = title.split_once(' ').unwrap_or((&title, ""));
        let Some(kind) = KINDS.into_iter().find(|kind| *kind == word) else {
            let near = suggestion(word, KINDS);
            let message = format!("[{title}] is not a kind of entry{near}");
            self.refuse(self.section.line, EditRule::UnknownSection, message);
            return None;
        };
        match ModelName::from_str(rest.trim()) {
            Ok(name) => Some((kind, name)),
            Err(error) => {
                self.refuse(self.section.line, EditRule::BadName, error.to_string());
                None
            }
        }
    }

    fn check_keys(&mut self, kind: &str) {
        if let Some(key) = self.section.duplicate() {
            let message = format!("{} stands twice", key.name);
            self.refuse(key.line, EditRule::DuplicateKey, message);
        }
        for key in &self.section.keys {
            let name = &*key.name;
            if !KEYS.contains(&name) {
                let message = format!("no key {name}{}", suggestion(name, KEYS));
                self.refuse(key.line, EditRule::UnknownKey, message);
            } else if kind == "plain" && WEIGHT_KEYS.contains(&name) {
                let message = format!("{name} in a plain entry");
                self.refuse(key.line, EditRule::WeightsOnPlain, message);
            } else if kind == "remove" && name != "revision" {
                let message = format!("{name} in a removal");
                self.refuse(key.line, EditRule::RemovalWithKeys, message);
            }
        }
    }

    fn content(&mut self, is_model: bool) -> Option<DraftContent> {
        let service = self.name::<ServiceName>("service");
        let owner = self.required("owner").map(|key| key.value.clone());
        let class = self.class();
        let callers = self.callers();
        let requests_per_second = self.number("requests_per_second", true);
        let in_flight = self.number("in_flight", true);
        let weights = if is_model {
            let version = self.name::<VersionName>("version");
            let replicas = self.number("replicas", true);
            Some((version?, replicas?))
        } else {
            None
        };
        let limits =
            CustomerLimits { requests_per_second: requests_per_second?, in_flight: in_flight? };
        let (service, owner, class, callers) = (service?, owner?, class?, callers?);
        Some(DraftContent { service, owner, class, callers, limits, weights })
    }

    fn class(&mut self) -> Option<RequestClass> {
        let key = self.required("class")?.clone();
        let class = key.value.parse().ok();
        if class.is_none() {
            let known = ["urgent", "standard", "background"];
            let message = format!("class {}{}", key.value, suggestion(&key.value, known));
            self.refuse(key.line, EditRule::UnknownClass, message);
        }
        class
    }

    fn callers(&mut self) -> Option<CallerSet> {
        let key = self.required("callers")?.clone();
        match &*key.value {
            "all" => return Some(CallerSet::All),
            "none" => return Some(CallerSet::Only(Vec::new())),
            _ => {}
        }
        let mut names = Vec::new();
        let mut known = FastSet::default();
        for part in key.value.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match CustomerName::from_str(part) {
                Ok(name) if known.insert(name.clone()) => names.push(name),
                Ok(name) => {
                    let message = format!("{name} stands twice in callers");
                    self.refuse(key.line, EditRule::DuplicateCaller, message);
                }
                Err(error) => self.refuse(key.line, EditRule::BadName, error.to_string()),
            }
        }
        if names.is_empty() {
            self.refuse(key.line, EditRule::EmptyCallers, "callers names nobody");
            return None;
        }
        Some(CallerSet::Only(names))
    }

    fn name<T: FromStr<Err: std::fmt::Display>>(&mut self, key: &str) -> Option<T> {
        let key = self.required(key)?.clone();
        match key.value.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let error: T::Err = error;
                self.refuse(key.line, EditRule::BadName, error.to_string());
                None
            }
        }
    }

    fn number<T: FromStr>(&mut self, name: &str, required: bool) -> Option<T> {
        let key = if required { self.required(name) } else { self.section.key(name) }?.clone();
        let number = key.value.parse().ok();
        if number.is_none() {
            let message = format!("{name} = {} is not a whole number", key.value);
            self.refuse(key.line, EditRule::BadNumber, message);
        }
        number
    }

    fn required(&mut self, name: &str) -> Option<&IniKey> {
        if self.section.key(name).is_none() {
            let message = format!("{name} is missing");
            self.refuse(self.section.line, EditRule::MissingKey, message);
        }
        self.section.key(name)
    }

    fn refuse(&mut self, line: usize, rule: EditRule, message: impl Into<Box<str>>) {
        self.refusals.push(EditRefusal::new(&self.section.name, line, rule, message));
    }
}
