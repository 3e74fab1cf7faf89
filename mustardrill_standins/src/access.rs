//! Tokens of a lab's operators and customers, and requests with them.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use mustardrill_runtime::http::request;

/// Token of the operator `ana` in the entries' settings.
pub const OPERATOR_TOKEN: &str = "lab-operator-ana";

/// Token of the operator `beto` in the entries' settings.
pub const SECOND_OPERATOR_TOKEN: &str = "lab-operator-beto";

/// Token of the customer `comedor` in the entries' settings.
pub const CUSTOMER_TOKEN: &str = "lab-customer-comedor";

/// A `POST` request to an entry, authorized as the customer `comedor`.
pub fn caller_request(entry: SocketAddr, path: &str, body: &str) -> Request<Full<Bytes>> {
    let mut sent = request("POST", &format!("http://{entry}{path}"), body.to_owned());
    let value = format!("Bearer {CUSTOMER_TOKEN}").parse().expect("a token makes a header");
    sent.headers_mut().insert("authorization", value);
    sent
}
