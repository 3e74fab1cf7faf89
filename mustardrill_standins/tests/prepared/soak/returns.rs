//! A restart of all processes at once, beside items of other writers in a store of small pages.

use std::time::{Duration, Instant};

use rand::Rng;

use super::{FIRST_EVACUATIONS_SEED, RecoveryAction, Soak};
use crate::returns::write_foreign_items;

/// Seeds from this one on run so; lower ones run as they did before.
const FIRST_RETURNS_SEED: u64 = 90_000;

/// Range of the number of items of other writers.
const FOREIGN_ITEMS: std::ops::Range<usize> = 10..60;

/// Range of the largest number of items in a page.
const PAGE_LIMITS: std::ops::Range<usize> = 1..8;

/// Range of the time after which a process starts again, in milliseconds.
const RETURN_DELAYS_MS: std::ops::Range<u64> = 0..300;

/// The kind under which a killed process is recorded among the faults.
const KILL: u32 = 2;

/// Whether all processes of this seed's run are restarted at once.
pub(super) fn has_return(seed: u64) -> bool {
    (FIRST_RETURNS_SEED..FIRST_EVACUATIONS_SEED).contains(&seed)
}

impl Soak {
    /// Lets other writers leave items in the store, and makes its pages small.
    pub(super) fn add_foreign_items(&mut self) {
        let page_limit = self.delay_random.random_range(PAGE_LIMITS);
        let count = self.delay_random.random_range(FOREIGN_ITEMS);
        self.store.set_page_limit(page_limit);
        write_foreign_items(&self.store, &mut self.delay_random, count);
        self.faults.push(format!("{count} foreign items, pages of {page_limit}"));
    }

    /// Kills all processes, and schedules the start of their successors.
    pub(super) fn restart_all(&mut self) {
        for place in 0..self.processes.len() {
            let delay_ms = self.delay_random.random_range(RETURN_DELAYS_MS);
            let ends = Instant::now() + Duration::from_millis(delay_ms);
            let action = RecoveryAction::Restart(place);
            if let Some(mut process) = self.processes[place].process.take() {
                process.resume();
                process.kill();
                self.entry_kills.push((process.address, Instant::now()));
            }
            self.record_disturbance(KILL, place, Some(action), ends);
            self.recovery_actions.push((ends, action));
        }
        self.faults.push("all restarted".into());
    }
}
