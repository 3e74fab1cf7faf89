//! Switches for failures, set over HTTP: `POST /admin/faults?down=1&delay_ms=200&lose_answers=1`.

use std::sync::Mutex;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode, Uri};
use mustardrill_runtime::http::{AnyResponse, query_parameter, text_response};

/// The failures that are switched on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultSwitches {
    /// Answers every call with an error, before it takes effect.
    pub down: bool,
    /// Answers this much later.
    pub delay: Duration,
    /// Lets calls take effect and never answers.
    pub lose_answers: bool,
    /// Lets writes take effect and never answers them; reads are answered.
    pub lose_writes: bool,
    /// An engine answers from other weights than those it was asked for.
    pub wrong_weights: bool,
    /// Stops sending in the middle of an answer without closing.
    pub stall: bool,
    /// Changes a byte of every answer.
    pub corrupt: bool,
}

/// The switches of one stand-in.
#[derive(Debug, Default)]
pub struct FaultPanel {
    switches: Mutex<FaultSwitches>,
}

impl FaultPanel {
    /// What is switched on.
    pub fn get(&self) -> FaultSwitches {
        *self.switches.lock().expect("nobody panics under this lock")
    }

    /// Sets all switches.
    pub fn set(&self, switches: FaultSwitches) {
        *self.switches.lock().expect("nobody panics under this lock") = switches;
    }

    /// Answers an admin call, where it is one.
    pub fn admin(&self, request: &Request<Incoming>) -> Option<AnyResponse> {
        if request.uri().path() != "/admin/faults" {
            return None;
        }
        self.set(parse(request.uri()));
        Some(text_response(StatusCode::OK, format!("{:?}\n", self.get())))
    }
}

fn parse(uri: &Uri) -> FaultSwitches {
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
