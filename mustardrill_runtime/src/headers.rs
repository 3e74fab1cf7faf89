//! Headers that concern one connection alone.

use hyper::HeaderMap;
use hyper::header::CONNECTION;

/// Headers that are never passed on from one connection to another.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header of this name belongs to one connection whatever `connection` lists.
pub fn is_hop(name: &str) -> bool {
    HOP_HEADERS.contains(&name)
}

/// Copies the headers that are not of one connection alone, nor listed as such in `connection`.
pub fn copy_end_to_end(from: &HeaderMap, into: &mut HeaderMap) {
    let lists = from.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    let listed: Vec<_> = lists.flat_map(|list| list.split(',')).map(str::trim).collect();
    for (name, value) in from {
        let is_listed = listed.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !is_hop(name.as_str()) && !is_listed {
            into.append(name.clone(), value.clone());
        }
    }
}
