//! Fetches the manifest of a newer version while an older one is still being provisioned.

use std::sync::Arc;

use log::info;
use mustardrill_types::Moment;

use crate::manifest::Manifest;
use crate::provisioning::event::{ProvisioningEffect, VersionId};
use crate::provisioning::reducer::ProvisioningReducer;

/// Manifest of a newer version, or the state of the tries to fetch it.
#[derive(Debug)]
pub(super) struct PendingManifest {
    pub(super) version: VersionId,
    /// The manifest and the time at which it was received.
    pub(super) manifest: Option<(Arc<Manifest>, Moment)>,
    next_try: Moment,
    tries: u32,
}

impl ProvisioningReducer {
    /// Requests the manifest of the newer version until it is available.
    pub(super) fn request_newer_manifest(
        &mut self,
        now: Moment,
        target: VersionId,
    ) -> Vec<ProvisioningEffect> {
        let existing = self.newer_manifest.take().filter(|newer| newer.version == target);
        let mut newer = existing.unwrap_or_else(|| {
            info!("weights version={target} decision=await-list");
            PendingManifest { version: target.clone(), manifest: None, next_try: now, tries: 0 }
        });
        let mut effects = Vec::new();
        if newer.manifest.is_none() && newer.next_try <= now {
            let sources = self.manifest_sources(now, &target, newer.tries);
            newer.next_try = now + self.manifest_retry_delay(newer.tries);
            newer.tries += 1;
            effects.push(ProvisioningEffect::FetchManifest(target, sources));
        }
        self.newer_manifest = Some(newer);
        effects
    }
}
