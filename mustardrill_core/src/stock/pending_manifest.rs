//! The list of a version that was named while an older one is under way.

use std::sync::Arc;

use log::info;
use mustardrill_types::Moment;

use crate::manifest::Manifest;
use crate::stock::event::{StockEffect, VersionId};
use crate::stock::reducer::StockReducer;

/// The list of a version that follows the one under way, or the tries to get it.
#[derive(Debug)]
pub(super) struct FollowingList {
    pub(super) version: VersionId,
    /// The list, and since when it is here.
    pub(super) list: Option<(Arc<Manifest>, Moment)>,
    next_try: Moment,
    tries: u32,
}

impl StockReducer {
    /// Asks for the list of the version that follows the one under way, until it is here.
    pub(super) fn ask_following(&mut self, now: Moment, target: VersionId) -> Vec<StockEffect> {
        let same = self.following.take().filter(|following| following.version == target);
        let mut following = same.unwrap_or_else(|| {
            info!("weights version={target} decision=await-list");
            FollowingList { version: target.clone(), list: None, next_try: now, tries: 0 }
        });
        let mut effects = Vec::new();
        if following.list.is_none() && following.next_try <= now {
            let sources = self.list_sources(now, &target, following.tries);
            following.next_try = now + self.list_pause(following.tries);
            following.tries += 1;
            effects.push(StockEffect::FetchList(target, sources));
        }
        self.following = Some(following);
        effects
    }
}
