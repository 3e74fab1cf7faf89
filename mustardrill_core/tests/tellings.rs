//! What an entry tells the others of its load: rises soon, the rest seldom, nothing twice.

use mustardrill_core::direct::{LoadNews, LoadRows, LoadTeller, UpstreamLoad};
use mustardrill_types::{FastMap, InstanceId, Millis, Moment};
use proptest::prelude::*;

const START: Moment = Moment(10_000);

fn rows(requests: &[(&str, u32)]) -> LoadRows {
    let load = |requests| UpstreamLoad { requests, pending_prefill: Millis(0) };
    requests.iter().map(|(id, requests)| (id.parse().unwrap(), load(*requests))).collect()
}

#[test]
fn a_rise_is_told_at_once_and_a_fall_a_little_later() {
    let mut teller = LoadTeller::default();
    assert!(teller.next(START, rows(&[("u1", 1)]), Vec::new()).unwrap().whole, "all at first");
    assert_eq!(
        teller.next(START + Millis(10), rows(&[("u1", 1)]), Vec::new()),
        None,
        "nothing is new"
    );
    let news = teller.next(START + Millis(20), rows(&[("u1", 1), ("u2", 1)]), Vec::new()).unwrap();
    assert_eq!((news.rows, news.whole), (rows(&[("u2", 1)]), false));
    let fallen = rows(&[("u2", 1)]);
    assert_eq!(teller.next(START + Millis(30), fallen.clone(), Vec::new()), None);
    let news = teller.next(START + Millis(70), fallen.clone(), Vec::new()).unwrap();
    assert_eq!(news.rows, rows(&[("u1", 0)]));
    assert!(
        teller.next(START + Millis(600), fallen, Vec::new()).unwrap().whole,
        "a lost word is mended"
    );
}

/// Told in one datagram of more than 1,400 bytes, the load of 70 engines was cut and not heard.
#[test]
fn the_load_of_many_upstreams_is_told_in_parts() {
    let ids: Vec<_> = (0..120).map(|place| format!("u{place}")).collect();
    let all = rows(&ids.iter().map(|id| (id.as_str(), 1)).collect::<Vec<_>>());
    let news = LoadNews { rows: all.clone(), whole: true, waiting: Vec::new() };
    let parts = news.parts(50);
    assert_eq!(parts.iter().map(|part| part.whole).collect::<Vec<_>>(), [true, false, false]);
    assert_eq!(parts.into_iter().flat_map(|part| part.rows).collect::<LoadRows>(), all);
    let nothing = LoadNews { rows: Vec::new(), whole: true, waiting: Vec::new() };
    assert_eq!(nothing.clone().parts(50), [nothing], "absence is told, too");
}

proptest! {
    /// Whoever merges what is told knows the load as it was some moments ago.
    #[test]
    fn what_is_told_adds_up(history in prop::collection::vec((0..4usize, 0..5u32), 1..200)) {
        let mut teller = LoadTeller::default();
        let mut load: FastMap<InstanceId, UpstreamLoad> = FastMap::default();
        let mut believed: FastMap<InstanceId, UpstreamLoad> = FastMap::default();
        let mut now = START;
        for (upstream, requests) in history {
            now = now + Millis(10);
            let id: InstanceId = format!("u{upstream}").parse().unwrap();
            load.insert(id, UpstreamLoad { requests, pending_prefill: Millis(0) });
            merge(&mut believed, &mut teller, now, &load);
        }
        merge(&mut believed, &mut teller, now + Millis(60), &load);
        believed.retain(|_, load| load.requests > 0);
        load.retain(|_, load| load.requests > 0);
        prop_assert_eq!(believed, load);
    }
}

fn merge(
    believed: &mut FastMap<InstanceId, UpstreamLoad>,
    teller: &mut LoadTeller,
    now: Moment,
    load: &FastMap<InstanceId, UpstreamLoad>,
) {
    let present = load.iter().filter(|(_, load)| load.requests > 0);
    let rows = present.map(|(id, load)| (id.clone(), *load)).collect();
    let Some(news) = teller.next(now, rows, Vec::new()) else { return };
    if news.whole {
        believed.clear();
    }
    believed.extend(news.rows);
}
