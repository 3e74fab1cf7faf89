//! Fault switches of the stand-ins, set over HTTP: `POST /admin/faults?down=1&delay_ms=200&lose_answers=1`.

use std::sync::Mutex;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode, Uri};
use mustardrill_runtime::http::{AnyResponse, query_parameter, text_response};

/// The faults that are switched on. A stand-in ignores those that do not apply to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultSwitches {
    /// Rejects every call with an error before it takes effect.
    pub down: bool,
    /// Delays the handling of every call by this time.
    pub delay: Duration,
    /// Executes calls and never answers them.
    pub lose_answers: bool,
    /// Executes writes and never answers them; reads are answered.
    pub lose_writes: bool,
    /// Makes an engine answer with other weights than it has loaded and was asked for.
    pub wrong_weights: bool,
    /// Stops sending within an answer and keeps the connection open.
    pub stall: bool,
    /// Changes a byte of the weights that an origin sends; breaks off an engine's answers.
    pub corrupt: bool,
}

/// The fault switches of one stand-in, which can be changed while it runs.
#[derive(Debug, Default)]
pub struct FaultPanel {
    switches: Mutex<FaultSwitches>,
}

impl FaultPanel {
    /// A copy of the current switches.
    pub fn get(&self) -> FaultSwitches {
        *self.switches.lock().expect("nobody panics under this lock")
    }

    /// Replaces all switches.
    pub fn set(&self, switches: FaultSwitches) {
        *self.switches.lock().expect("nobody panics under this lock") = switches;
    }

    /// Sets the switches and answers where the request is for `/admin/faults`; `None` for any other.
    pub fn admin(&self, request: &Request<Incoming>) -> Option<AnyResponse> {
        if request.uri().path() != "/admin/faults" {
            return None;
        }
        self.set(parse_switches(request.uri()));
        Some(text_response(StatusCode::OK, format!("{:?}\n", self.get())))
    }
}

fn parse_switches(uri: &Uri) -> FaultSwitches {
    let is_on = |name| query_parameter(uri, name) == Some("1");
    let delay = query_parameter(uri, "delay_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
    FaultSwitches {
        down: is_on("down"),
        delay: Duration::from_millis(delay),
        lose_answers: is_on("lose_answers"),
        lose_writes: is_on("lose_writes"),
        wrong_weights: is_on("wrong_weights"),
        stall: is_on("stall"),
        corrupt: is_on("corrupt"),
    }
}
