//! Serving on a platform where an entry sends requests to upstreams itself.
//!
//! The operator's configuration, the upstreams and the versions named come from the platform's
//! store. [`DirectReducer`] takes them and the callers' requests as events, and says as data who
//! is asked, who waits and who is refused. Nothing here does I/O or reads a clock.

mod admit;
mod dispatch;
mod event;
mod fleet;
mod placing;
mod reducer;
mod request;
mod retries;
mod route;
mod store;
mod versions;
mod waiting;

pub use event::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectRequest, DirectSettings, EngineWord,
    LoadReport, PeerLoad, RefusalPlan, RequestNumber, SendPlan, StatusRow, UpstreamLoad,
};
pub use fleet::load_broadcast::{LoadBroadcaster, LoadRows, LoadUpdate, WaitRows};
pub use fleet::update::{FleetChange, FleetUpdate, PeerRecord, ServedWeights, UpstreamRecord};
pub use placing::forecast::{EngineForecast, WorkSize};
pub use reducer::DirectReducer;
pub use retries::retry_budget::{RetryShare, RetryWindow};
pub use route::{
    CallerLimits, CustomerRecord, EngineProfile, ModelProfile, OriginProfile, RepeatRule,
    RouteDocument, RouteRule, ServiceProfile,
};
pub use store::availability::{AvailabilitySpan, StoreAvailability};
pub use store::coalescing::{ChangeCoalescer, NextRead};
pub use store::cursor::{CursorVerdict, StoreCursor};
pub use store::freshness::{FreshnessClock, confirmation_time};
pub use store::reader::{ReadOutcome, StoreReader};
pub use store::watch_timing::WatchTiming;
pub use versions::table::{AnnouncementReport, AnnouncementTime, VersionTable};
pub use waiting::queue::{WaitQueue, WaitRank};
