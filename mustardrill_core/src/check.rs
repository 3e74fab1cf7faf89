//! Validates one drafted entry: the names that it refers to, its limits and weights, and the values
//! that an edit may not change.

use mustardrill_types::{CustomerName, ManifestDigest, ModelName, ServiceName, VersionName};

use crate::catalogue::{DraftContent, EntryDraft};
use crate::document::{CallerSet, CatalogueEntry, ModelWeights};
use crate::edit::Editor;
use crate::ini_file::suggestion;
use crate::rule::{EditRefusal, EditRule};

/// Highest `requests_per_second` per customer that an edit may set.
const MAX_REQUESTS_PER_SECOND: u32 = 100_000;

/// Highest `in_flight` per customer that an edit may set.
const MAX_IN_FLIGHT: u32 = 10_000;

impl Editor<'_> {
    /// Checks owner, callers and service against the settings and the fleet.
    pub(crate) fn check_references(
        &self,
        draft: &EntryDraft,
        content: &DraftContent,
        current: Option<&CatalogueEntry>,
    ) -> Vec<EditRefusal> {
        let refuse =
            |rule, message: String| EditRefusal::of(&draft.name, draft.line, rule, message);
        let mut refusals = Vec::new();
        let owner = current.map_or(&content.owner, |entry| &entry.owner);
        if !self.facts.operators.contains(&content.owner) {
            let known = self.facts.operators.iter().map(|name| &**name);
            let near = suggestion(&content.owner, known);
            let message = format!("no operator {}{near}", content.owner);
            refusals.push(refuse(EditRule::UnknownOwner, message));
        } else if &**owner != self.operator {
            let message = format!("it belongs to {owner}, the edit is by {}", self.operator);
            refusals.push(refuse(EditRule::NotOwner, message));
        }
        if let CallerSet::Only(names) = &content.callers {
            for name in names.iter().filter(|name| !self.facts.customers.contains(*name)) {
                let known = self.facts.customers.iter().map(CustomerName::as_str);
                let near = suggestion(name.as_str(), known);
                refusals.push(refuse(EditRule::UnknownCaller, format!("no customer {name}{near}")));
            }
        }
        if !self.facts.instances.contains_key(&content.service) {
            let known = self.facts.instances.keys().map(ServiceName::as_str);
            let near = suggestion(content.service.as_str(), known);
            let message = format!("no instance of a service {}{near}", content.service);
            refusals.push(refuse(EditRule::UnknownService, message));
        }
        refusals
    }

    pub(crate) fn check_limits(
        &self,
        draft: &EntryDraft,
        content: &DraftContent,
    ) -> Vec<EditRefusal> {
        let refuse =
            |rule, message: String| EditRefusal::of(&draft.name, draft.line, rule, message);
        let limits = content.limits;
        let in_use = self.facts.in_use.get(&draft.name).copied().unwrap_or(0);
        let mut refusals = Vec::new();
        if limits.requests_per_second == 0 || limits.in_flight == 0 {
            refusals.push(refuse(EditRule::ZeroLimit, "a limit is zero".into()));
        } else if limits.in_flight < in_use {
            let message = format!("in_flight = {}, in use now: {in_use}", limits.in_flight);
            refusals.push(refuse(EditRule::LimitBelowUse, message));
        }
        if limits.requests_per_second > MAX_REQUESTS_PER_SECOND || limits.in_flight > MAX_IN_FLIGHT
        {
            let (rate, flight) = (limits.requests_per_second, limits.in_flight);
            let message = format!("requests_per_second = {rate}, in_flight = {flight}");
            refusals.push(refuse(EditRule::LimitTooHigh, message));
        }
        refusals
    }

    /// Pins the drafted version to a manifest digest; returns `None` for a plain entry and where
    /// the origin does not have the version.
    pub(crate) fn resolve_weights(
        &self,
        draft: &EntryDraft,
        content: &DraftContent,
        current: Option<&CatalogueEntry>,
        refusals: &mut Vec<EditRefusal>,
    ) -> Option<ModelWeights> {
        let (version, replicas) = content.weights.as_ref()?;
        let mut refuse = |rule, message: String| {
            refusals.push(EditRefusal::of(&draft.name, draft.line, rule, message));
        };
        let instances = self.facts.instances.get(&content.service).copied().unwrap_or(0);
        if *replicas == 0 && content.callers != CallerSet::Only(Vec::new()) {
            refuse(EditRule::NoReplicas, "replicas = 0 while customers may call it".into());
        }
        if instances > 0 && *replicas > instances {
            let service = &content.service;
            let message = format!("replicas = {replicas}, {service} has {instances} instances");
            refuse(EditRule::TooManyReplicas, message);
        }
        let kept = current.and_then(|entry| entry.weights.as_ref());
        let kept = kept.filter(|weights| weights.version == *version);
        let published = self.facts.versions.get(&(draft.name.clone(), version.clone()));
        let manifest = match (kept, published) {
            // An unchanged version keeps its pinned digest, even if the origin now has another.
            (Some(weights), _) => weights.manifest,
            (None, None) => {
                let message = format!("the origin has no version {version} of {}", draft.name);
                refuse(EditRule::VersionMissing, message);
                return None;
            }
            (None, Some(published)) => {
                if published.size > self.facts.staging_limit {
                    let limit = self.facts.staging_limit;
                    let message =
                        format!("{version} has {}, an agent stages {limit}", published.size);
                    refuse(EditRule::VersionTooLarge, message);
                }
                if let Some(pinned) = self.find_pinned_digest(&draft.name, version)
                    && pinned != published.manifest
                {
                    let message = format!("{version} stood for other bytes ({})", pinned.short());
                    refuse(EditRule::VersionReused, message);
                }
                published.manifest
            }
        };
        Some(ModelWeights { version: version.clone(), manifest, replicas: *replicas })
    }

    /// The digest to which an edit still in the history pinned this version name, if any.
    fn find_pinned_digest(
        &self,
        name: &ModelName,
        version: &VersionName,
    ) -> Option<ManifestDigest> {
        let changes = self.document.edits.iter().flat_map(|record| &record.changes);
        changes
            .filter(|change| change.name == *name)
            .flat_map(|change| [&change.before, &change.after])
            .filter_map(|entry| entry.as_ref()?.weights.as_ref())
            .find(|weights| weights.version == *version)
            .map(|weights| weights.manifest)
    }
}

/// Refuses changes that one edit may not make to an existing entry: owner and limits together,
/// model to plain or back, and the service while customers may call the entry.
pub(crate) fn check_restricted_changes(
    draft: &EntryDraft,
    content: &DraftContent,
    current: &CatalogueEntry,
) -> Vec<EditRefusal> {
    let refuse = |rule, message: String| EditRefusal::of(&draft.name, draft.line, rule, message);
    let mut refusals = Vec::new();
    if content.owner != current.owner && content.limits != current.limits {
        let message = format!("owner {} becomes {}", current.owner, content.owner);
        refusals.push(refuse(EditRule::OwnerWithLimits, message));
    }
    if content.weights.is_some() != current.weights.is_some() {
        refusals.push(refuse(EditRule::KindChanged, "model and plain are exchanged".into()));
    }
    if content.service != current.service && current.callers != CallerSet::Only(Vec::new()) {
        let message = format!("service {} becomes {}", current.service, content.service);
        refusals.push(refuse(EditRule::ServiceChanged, message));
    }
    refusals
}
