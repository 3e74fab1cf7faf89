//! Paths of the calls between agents and entries.

use mustardrill_core::provisioning::VersionId;
use mustardrill_runtime::peer_call::PeerCall;
use mustardrill_types::{ChunkIndex, WeightVersion};

#[test]
fn a_call_round_trips_through_its_path() {
    let version = VersionId { model: "m".parse().unwrap(), version: WeightVersion(3) };
    let calls = [
        PeerCall::List(version.clone()),
        PeerCall::Chunk(version.clone(), ChunkIndex(7)),
        PeerCall::OriginList(version.clone()),
        PeerCall::OriginChunk(version, ChunkIndex(0)),
        PeerCall::Fleet("pool".parse().unwrap()),
    ];
    for call in calls {
        let uri = format!("http://10.0.0.1:7700{call}").parse().unwrap();
        assert_eq!(PeerCall::read(&uri), Some(call));
    }
}

#[test]
fn unknown_and_incomplete_paths_are_rejected() {
    for path in ["/", "/v1/chunks/m/3", "/v1/chunks/m/x/1", "/v1/lists/m", "/v2/lists/m/3"] {
        assert_eq!(PeerCall::read(&path.parse().unwrap()), None, "{path}");
    }
}
