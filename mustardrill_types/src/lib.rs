//! Types that every crate of mustardrill shares: names and ids, times, sizes, rates and result
//! codes.
#![deny(missing_docs, unsafe_code, clippy::unwrap_used)]

pub mod code;
pub mod id;
pub mod map;
pub mod prompt;
pub mod time;
pub mod unit;

pub use code::ResultCode;
pub use id::{
    AttemptId, ChunkIndex, CustomerLabel, CustomerName, DataCentre, EditId, FencingNumber,
    Generation, InstanceId, ManifestDigest, ModelName, RegionName, RequestDigest, RequestKey,
    ServiceName, StartStamp, StoreEra, StoreRevision, VersionName, WeightVersion,
};
pub use map::{FastMap, FastSet};
pub use prompt::{ParsePartError, PartId, PartSet};
pub use time::{Millis, Moment};
pub use unit::{ByteRate, ByteSize, ParseUnitError, RequestRate};
