//! The operator's file format: catalogue entries as INI sections, parsed into drafts and written
//! from a catalogue document.

use std::fmt::Write;
use std::str::FromStr;

use mustardrill_types::{CustomerName, FastSet, Generation, ModelName, ServiceName, VersionName};

use crate::document::{CallerSet, CatalogueDocument, CatalogueEntry, CustomerLimits, RequestClass};
use crate::ini_file::{IniFile, IniKey, IniSection, suggestion};
use crate::rule::{EditRefusal, EditRule};

/// Every key of an entry, in the order in which they are written.
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

/// The keys that models have and plain entries do not.
const MODEL_KEYS: [&str; 2] = ["version", "replicas"];

/// The first word of a section header: `[KIND NAME]`.
const SECTION_KINDS: [&str; 3] = ["model", "plain", "remove"];

/// A valid section of the operator's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryDraft {
    /// The name of the entry to change.
    pub name: ModelName,
    /// The line of the section header, from one.
    pub line: usize,
    /// The revision that the operator edited; `None` if the section does not give one.
    pub base: Option<Generation>,
    /// The requested values; `None` to remove the entry.
    pub content: Option<DraftContent>,
}

/// The values requested for an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DraftContent {
    /// The service whose upstreams serve the entry.
    pub service: ServiceName,
    /// The only operator who may edit the entry.
    pub owner: Box<str>,
    /// The priority class of requests for the entry.
    pub class: RequestClass,
    /// The customers who may call the entry.
    pub callers: CallerSet,
    /// The limits that apply to each customer separately.
    pub limits: CustomerLimits,
    /// Version and number of replicas for a model; `None` for a plain service.
    pub weights: Option<(VersionName, u32)>,
}

/// Parses an operator's file; `file` is its name for messages.
///
/// On an error every problem found in the file is returned, not just the first.
pub fn parse_drafts(file: &str, text: &str) -> Result<Vec<EntryDraft>, Vec<EditRefusal>> {
    let parsed = IniFile::read(file, text).map_err(|error| {
        vec![EditRefusal::new(file, error.line(), EditRule::UnreadableFile, error.to_string())]
    })?;
    let mut refusals = Vec::new();
    let mut drafts: Vec<EntryDraft> = Vec::new();
    for section in &parsed.sections {
        let mut reader = SectionReader { section, refusals: &mut refusals };
        let Some(draft) = reader.read_draft() else { continue };
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

/// Formats the entries of a document as an operator's file, with the generation in a comment.
pub fn format_document(document: &CatalogueDocument) -> String {
    let mut text = format!("; generation {}\n", document.generation);
    for (name, entry) in &document.entries {
        text.push('\n');
        text.push_str(&format_entry(name, entry));
    }
    text
}

/// Formats one entry as a section that [`parse_drafts`] accepts.
pub fn format_entry(name: &ModelName, entry: &CatalogueEntry) -> String {
    let kind = if entry.weights.is_some() { "model" } else { "plain" };
    let mut text = format!("[{kind} {name}]\n");
    let mut line = |key: &str, value: &dyn std::fmt::Display| {
        writeln!(text, "{key} = {value}").expect("a string takes all text");
    };
    line("revision", &entry.revision);
    line("service", &entry.service);
    line("owner", &entry.owner);
    line("class", &entry.class);
    line("callers", &format_callers(&entry.callers));
    line("requests_per_second", &entry.limits.requests_per_second);
    line("in_flight", &entry.limits.in_flight);
    if let Some(weights) = &entry.weights {
        line("version", &weights.version);
        line("replicas", &weights.replicas);
    }
    text
}

fn format_callers(callers: &CallerSet) -> String {
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
    fn read_draft(&mut self) -> Option<EntryDraft> {
        let refusals_before = self.refusals.len();
        let (kind, name) = self.read_header()?;
        self.check_keys(kind);
        let base = self.read_number::<u64>("revision", false).map(Generation);
        let content = if kind == "remove" { None } else { self.read_content(kind == "model") };
        if self.refusals.len() > refusals_before {
            return None;
        }
        Some(EntryDraft { name, line: self.section.line, base, content })
    }

    fn read_header(&mut self) -> Option<(&'static str, ModelName)> {
        let title = self.section.name.clone();
        let (kind_name, rest) = title.split_once(' ').unwrap_or((&title, ""));
        let Some(kind) = SECTION_KINDS.into_iter().find(|kind| *kind == kind_name) else {
            let near = suggestion(kind_name, SECTION_KINDS);
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
        if let Some(key) = self.section.first_duplicate() {
            let message = format!("{} stands twice", key.name);
            self.refuse(key.line, EditRule::DuplicateKey, message);
        }
        for key in &self.section.keys {
            let name = &*key.name;
            if !KEYS.contains(&name) {
                let message = format!("no key {name}{}", suggestion(name, KEYS));
                self.refuse(key.line, EditRule::UnknownKey, message);
            } else if kind == "plain" && MODEL_KEYS.contains(&name) {
                let message = format!("{name} in a plain entry");
                self.refuse(key.line, EditRule::WeightsOnPlain, message);
            } else if kind == "remove" && name != "revision" {
                let message = format!("{name} in a removal");
                self.refuse(key.line, EditRule::RemovalWithKeys, message);
            }
        }
    }

    fn read_content(&mut self, is_model: bool) -> Option<DraftContent> {
        let service = self.read_name::<ServiceName>("service");
        let owner = self.require_key("owner").map(|key| key.value.clone());
        let class = self.read_class();
        let callers = self.read_callers();
        let requests_per_second = self.read_number("requests_per_second", true);
        let in_flight = self.read_number("in_flight", true);
        let weights = if is_model {
            let version = self.read_name::<VersionName>("version");
            let replicas = self.read_number("replicas", true);
            Some((version?, replicas?))
        } else {
            None
        };
        let limits =
            CustomerLimits { requests_per_second: requests_per_second?, in_flight: in_flight? };
        let (service, owner, class, callers) = (service?, owner?, class?, callers?);
        Some(DraftContent { service, owner, class, callers, limits, weights })
    }

    fn read_class(&mut self) -> Option<RequestClass> {
        let key = self.require_key("class")?.clone();
        let class = key.value.parse().ok();
        if class.is_none() {
            let known = ["urgent", "standard", "background"];
            let message = format!("class {}{}", key.value, suggestion(&key.value, known));
            self.refuse(key.line, EditRule::UnknownClass, message);
        }
        class
    }

    fn read_callers(&mut self) -> Option<CallerSet> {
        let key = self.require_key("callers")?.clone();
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

    fn read_name<T: FromStr<Err: std::fmt::Display>>(&mut self, key: &str) -> Option<T> {
        let key = self.require_key(key)?.clone();
        match key.value.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let error: T::Err = error;
                self.refuse(key.line, EditRule::BadName, error.to_string());
                None
            }
        }
    }

    fn read_number<T: FromStr>(&mut self, name: &str, is_required: bool) -> Option<T> {
        let key =
            if is_required { self.require_key(name) } else { self.section.key(name) }?.clone();
        let number = key.value.parse().ok();
        if number.is_none() {
            let message = format!("{name} = {} is not a whole number", key.value);
            self.refuse(key.line, EditRule::BadNumber, message);
        }
        number
    }

    fn require_key(&mut self, name: &str) -> Option<&IniKey> {
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
