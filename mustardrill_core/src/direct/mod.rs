//! Serving on a platform where an entry sends requests to upstreams itself.
//!
//! The operator's configuration, the upstreams and the versions named come from the platform's
//! store. [`DirectReducer`] takes them and the callers' requests as events, and says as data who
//! is asked, who waits and who is refused. Nothing here does I/O or reads a clock.

mod admit;
mod census;
mod closing;
mod contact;
mod crash_words;
mod cursor;
mod dispatch;
mod event;
mod fleet;
mod forecast;
mod freshness;
mod gathering;
mod generation_word;
mod heard;
mod holding;
mod placing;
mod pressure;
mod reducer;
mod request;
mod route;
mod spending;
mod store_reader;
mod store_view;
mod suspicion;
mod telling;
mod upstream;
mod upstream_table;
mod version;
mod waiting;
mod watch_pace;

pub use contact::{AnswerSpan, StoreContact};
pub use cursor::{CursorVerdict, StoreCursor};
pub use event::{
    AttemptOutcome, DirectEffect, DirectEvent, DirectRequest, DirectSettings, EngineWord,
    LoadReport, PeerLoad, RefusalPlan, RequestNumber, SendPlan, StatusRow, UpstreamLoad,
};
pub use fleet::{FleetChange, FleetPage, PeerRecord, ServedWeights, UpstreamRecord};
pub use forecast::{EngineForecast, WorkSize};
pub use freshness::{ProofClock, proved_at};
pub use gathering::{GatherPause, NextReading};
pub use reducer::DirectReducer;
pub use route::{
    CallerLimits, CustomerRecord, EngineProfile, ModelProfile, OriginProfile, RepeatRule,
    RouteDocument, RouteRule, ServiceProfile,
};
pub use spending::{RetryShare, RetryWindow};
pub use store_reader::{ReadOutcome, StoreReader};
pub use telling::{LoadNews, LoadRows, LoadTeller, WaitRows};
pub use version::VersionTable;
pub use waiting::{WaitQueue, WaitRank};
pub use watch_pace::WatchSpan;
