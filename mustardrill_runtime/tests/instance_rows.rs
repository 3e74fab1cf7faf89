//! Reading of the platform's instance list, to which any writer may have added rows.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use mustardrill_runtime::client_connections::ClientConnections;
use mustardrill_runtime::http::{AnyResponse, HttpClient, HttpHandler, text_response};
use mustardrill_runtime::http_server::HttpServer;
use mustardrill_runtime::platform::{HttpInstanceList, InstanceList, InstanceListing};
use mustardrill_types::Millis;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

/// A list that answers every call with these bytes.
struct FixedList(Vec<u8>);

impl HttpHandler for FixedList {
    fn handle(&self, _: Request<Incoming>, _: SocketAddr) -> BoxFuture<'static, AnyResponse> {
        let mut response = text_response(StatusCode::OK, "");
        *response.body_mut() = mustardrill_runtime::http::buffered_body(self.0.clone());
        Box::pin(async move { response })
    }
}

async fn read(body: Vec<u8>) -> InstanceListing {
    let stop = CancellationToken::new();
    let clients = ClientConnections::unlimited();
    let address = "127.0.0.1:0".parse().unwrap();
    let server = HttpServer::bind(address, Box::new(FixedList(body)), &clients, stop.clone());
    let server = server.await.unwrap();
    let client = HttpClient::open(Duration::from_secs(1));
    let list = HttpInstanceList::open(client, &server.address.to_string(), Millis(2_000));
    let listing = list.read().await.unwrap();
    stop.cancel();
    listing
}

fn row(id: &str) -> Value {
    json!({"id": id, "service": "pool", "data_centre": "hall", "region": "centre",
        "agent": "10.0.0.1:7700"})
}

/// The list with an odd row between two sound ones, each kind as raw JSON.
async fn ids_beside(odd_row: &[u8]) -> Vec<String> {
    let mut body =
        b"{\"entries\": 2, \"entry_ids\": [\"entry-1\", \"a b\", 7], \"instances\": [".to_vec();
    body.extend(row("i-1").to_string().bytes().chain([b',']));
    body.extend(odd_row);
    body.extend(format!(",{}]}}", row("i-2")).bytes());
    let listing = read(body).await;
    let entry_ids: Vec<_> = listing.entry_ids.iter().map(|id| id.as_str()).collect();
    assert_eq!((listing.entries, entry_ids), (2, vec!["entry-1"]));
    listing.instances.iter().map(|record| record.id.to_string()).collect()
}

#[tokio::test]
async fn an_odd_row_makes_the_instance_list_unreadable() {
    let with = |field: &str, value: Value| {
        let mut odd_row = row("odd");
        odd_row[field] = value;
        odd_row.to_string().into_bytes()
    };
    let odd_rows = [
        with("id", json!("a&b c")),
        with("id", json!(null)),
        with("service", json!(["pool"])),
        with("leaving", json!(1e300)),
        with("agent", json!("10.0.0.1:99999")),
        with("agent", json!("10.0.0.1:0")),
        with("agent", json!("no address#")),
        b"null".to_vec(),
        b"{}".to_vec(),
        b"{\"id\": \"\\udc41\"}".to_vec(),
        b"{\"id\": \"\xff\xfe\"}".to_vec(),
        b"[".repeat(5_000).into_iter().chain(b"]".repeat(5_000)).collect(),
        b"9".repeat(400),
    ];
    for odd_row in odd_rows {
        let shown = String::from_utf8_lossy(&odd_row[..odd_row.len().min(120)]).into_owned();
        assert_eq!(ids_beside(&odd_row).await, ["i-1", "i-2"], "{shown}");
    }
}
