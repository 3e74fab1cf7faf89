//! Metrics emitted through cadence as StatsD lines over UDP, if the settings name a sink.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

/// Every metric with its help text; `docs/OPERATORS.md` lists the same.
pub const METRICS: [(&str, &str); 9] = [
    ("requests", "requests that arrived, by result code"),
    ("request_ms", "time from arrival to the last byte, in milliseconds"),
    ("attempts", "attempts sent to agents"),
    ("late_frames", "frames of attempts that nobody awaits, dropped"),
    ("chunk_bytes_origin", "bytes of verified chunks drawn from the origin"),
    ("chunk_bytes_peer", "bytes of verified chunks drawn from peers"),
    ("chunk_bytes_sent", "bytes of chunks sent to peers"),
    ("chunks_corrupt", "chunks dropped for a wrong digest"),
    ("generation", "the catalogue's generation in force"),
];

/// Opens a client that sends metrics with the given name prefix to `sink`, or discards them if
/// there is none.
pub fn open(prefix: &str, sink: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
    let Some(sink) = sink else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let buffered = BufferedUdpMetricSink::from(sink, socket)
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    Ok(StatsdClient::from_sink(prefix, QueuingMetricSink::from(buffered)))
}
