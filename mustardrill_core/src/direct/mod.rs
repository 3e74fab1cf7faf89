//! Direct mode: the entry itself sends each request to an upstream.
//!
//! The operator's configuration, the registered upstreams and the announced weight versions come
//! from the platform's store. [`DirectReducer`] receives these and the callers' requests as events
//! and returns effects: which upstream gets a request, which requests wait and which are refused.
//! This module does no I/O and reads no clock.

mod admission;
mod admit;
mod body_budget;
mod dispatch;
mod event;
mod fleet;
mod framing;
mod intake;
mod locality;
mod placement;
mod reducer;
mod request;
mod retries;
mod route;
mod silence;
mod statements;
mod store;
mod versions;
mod waiting;
mod warmup;

pub use admission::counts::AdmissionCounts;
pub use admission::urgency::Urgency;
pub use body_budget::BodyBudget;
pub use event::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectRequest, DirectSettings, EngineNotice,
    LoadReport, PeerLoad, RefusalPlan, RequestNumber, SendPlan, SilenceReport, StatusRow,
    UpstreamLoad,
};
pub use fleet::load_broadcast::{LoadBroadcaster, LoadRows, LoadUpdate, WaitRows};
pub use fleet::update::{
    FleetChange, FleetUpdate, PeerRecord, ServedWeights, UnreadableConfiguration, UpstreamRecord,
};
pub use framing::{CutReason, MAX_STRAY_BYTES, MAX_STRAY_TIME, ReadCut, ReadMeter};
pub use intake::report::IntakeReport;
pub use locality::regions::RegionMap;
pub use placement::forecast::{EngineForecast, WorkSize};
pub use placement::pace::{PaceReport, ParsePaceError, WorkPace};
pub use reducer::DirectReducer;
pub use retries::retry_budget::{
    AllowancePart, RetryBound, RetryDecision, RetryGrant, RetryPayment, RetryShare, RetryWindow,
};
pub use route::{
    CallerLimits, CustomerRecord, EngineProfile, ModelProfile, OriginProfile, RepeatRule,
    RouteDocument, RouteRule, ServiceProfile,
};
pub use statements::statement::{StatedValue, UpstreamStatement};
pub use store::availability::{AvailabilitySpan, StoreAvailability};
pub use store::coalescing::{ChangeCoalescer, NextRead};
pub use store::cursor::{CursorVerdict, StoreCursor};
pub use store::freshness::{FreshnessClock, confirmation_time};
pub use store::read_pacing::ReadPacing;
pub use store::reader::{ReadOutcome, StoreReader};
pub use store::registration::{
    HeldItem, LeaseGrant, OwnListing, RegistrationCall, RegistrationKeeper, RegistrationWrite,
};
pub use store::watch_timing::WatchTiming;
pub use versions::load_record::{LoadRecord, LoadState};
pub use versions::table::{AnnouncementReport, AnnouncementTime, VersionTable};
pub use waiting::queue::{WaitQueue, WaitRank};
pub use warmup::limit::{WarmupBound, WarmupLimit};
pub use warmup::period::WarmupReport;
