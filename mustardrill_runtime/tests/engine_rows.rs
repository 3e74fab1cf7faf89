//! Agents' notices in datagrams: what is decoded is what was sent, also by an agent of an earlier
//! build.

use mustardrill_core::direct::EngineNotice;
use mustardrill_runtime::datagram::{Datagram, EngineRow};
use mustardrill_types::{StartStamp, WeightVersion};

#[test]
fn a_notice_names_the_incarnation_or_none() {
    for start in [None, Some(StartStamp(0)), Some(StartStamp(1_800_000_000_123))] {
        let notice = EngineNotice::Serving(WeightVersion(2));
        let address = ([10, 0, 0, 1], 8001).into();
        let mut datagram = Datagram::new(&"agent-1".parse().unwrap());
        datagram.engine = Some(EngineRow::new(address, &"m".parse().unwrap(), start, notice));
        let row = Datagram::read(&datagram.to_bytes()).and_then(|read| read.engine).unwrap();
        assert_eq!((row.start.map(StartStamp), row.notice()), (start, notice));
    }
}
