//! Removal of hop-by-hop headers from forwarded requests and answers.

use hyper::HeaderMap;
use hyper::header::CONNECTION;

const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header is hop-by-hop regardless of what the `connection` header lists.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_HEADERS.contains(&name)
}

/// Copies all headers but the hop-by-hop ones and those listed in the `connection` header.
pub fn copy_end_to_end(from: &HeaderMap, into: &mut HeaderMap) {
    let lists = from.get_all(CONNECTION).into_iter().filter_map(|value| value.to_str().ok());
    let listed: Vec<_> = lists.flat_map(|list| list.split(',')).map(str::trim).collect();
    for (name, value) in from {
        let is_listed = listed.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !is_hop_by_hop(name.as_str()) && !is_listed {
            into.append(name.clone(), value.clone());
        }
    }
}
