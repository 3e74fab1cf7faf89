//! Where an entry's belief in the weights of an upstream comes from, and whether an answer has
//! contradicted it.

use derive_more::Display;
use mustardrill_types::Moment;

/// What a belief in the weights of an upstream rests on.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BeliefSource {
    /// The upstream's registration in the store.
    #[display("registration")]
    Registration,
    /// A notice of the upstream's agent that names the incarnation.
    #[display("notice")]
    Notice,
    /// A notice of an agent that names only the address, where another incarnation may listen.
    #[display("address-notice")]
    AddressNotice,
    /// An answer of the upstream.
    #[display("answer")]
    Answer,
}

/// The evidence for the weights that an upstream is believed to serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct VersionBelief {
    pub(crate) source: BeliefSource,
    /// When the evidence was received.
    pub(crate) since: Moment,
    /// When an answer first contradicted it.
    contradicted_at: Option<Moment>,
}

impl VersionBelief {
    pub(crate) fn new(source: BeliefSource, since: Moment) -> Self {
        Self { source, since, contradicted_at: None }
    }

    /// Records that an answer contradicted it.
    pub(crate) fn record_contradiction(&mut self, now: Moment) {
        self.contradicted_at.get_or_insert(now);
    }

    /// Whether no answer has contradicted it.
    pub(crate) fn is_uncontradicted(&self) -> bool {
        self.contradicted_at.is_none()
    }

    /// Whether it is evidence of the weights of the incarnation in question.
    pub(crate) fn is_evidence(&self) -> bool {
        self.is_uncontradicted() && self.source != BeliefSource::AddressNotice
    }

    /// Whether an attempt sent at `sent_at` rested on it before it was contradicted. A repetition is
    /// sent at the moment of the contradiction.
    pub(crate) fn was_relied_on(&self, sent_at: Moment) -> bool {
        sent_at >= self.since && self.contradicted_at.is_none_or(|at| sent_at < at)
    }
}
