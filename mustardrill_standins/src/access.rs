//! Who may call a lab: its tokens, and a caller's request.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use mustardrill_runtime::http::request;

/// The token of the operator `ana` in a lab.
pub const OPERATOR_TOKEN: &str = "lab-operator-ana";

/// The token of the second operator, `beto`.
pub const SECOND_OPERATOR_TOKEN: &str = "lab-operator-beto";

/// The token of the customer `comedor` in a lab.
pub const CUSTOMER_TOKEN: &str = "lab-customer-comedor";

/// A caller's request to an entry, as the customer `comedor`.
pub fn caller_request(entry: SocketAddr, path: &str, body: &str) -> Request<Full<Bytes>> {
    let mut sent = request("POST", &format!("http://{entry}{path}"), body.to_owned());
    let value = format!("Bearer {CUSTOMER_TOKEN}").parse().expect("a token makes a header");
    sent.headers_mut().insert("authorization", value);
    sent
}
