//! Command line and server loop shared by the stand-ins' programs.
//!
//! All take `--listen IP:PORT` and further options in the form `--name VALUE`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use lexopt::prelude::*;
use mustardrill_runtime::http::HttpHandler;

use crate::StandIn;

/// The options of one program's command line.
#[derive(Debug, Default)]
pub struct ProgramOptions {
    values: BTreeMap<String, String>,
}

impl ProgramOptions {
    /// Reads the command line; a malformed one is reported and ends the process with status 2.
    pub fn read() -> Self {
        Self::parse().unwrap_or_else(|error| {
            eprintln!("{error}");
            std::process::exit(2);
        })
    }

    /// The value of an option; the default where it is missing or cannot be parsed.
    pub fn get<T: FromStr>(&self, name: &str, default: T) -> T {
        self.values.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    }

    fn parse() -> Result<Self, lexopt::Error> {
        let mut parser = lexopt::Parser::from_env();
        let mut values = BTreeMap::new();
        while let Some(arg) = parser.next()? {
            let Long(name) = arg else { return Err(arg.unexpected()) };
            let name = name.to_owned();
            values.insert(name, parser.value()?.string()?);
        }
        Ok(Self { values })
    }
}

/// Serves `handler` at the `--listen` address, or a free local port, until Ctrl-C.
///
/// Prints `ready address=IP:PORT` once it listens, which the lab waits for.
pub fn serve(options: &ProgramOptions, handler: Box<dyn HttpHandler>) {
    let address = options.get("listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("the runtime starts").block_on(async {
        let stand_in = StandIn::spawn(address, handler).await.unwrap_or_else(|error| {
            eprintln!("can't listen at {address}: {error}");
            std::process::exit(1);
        });
        println!("ready address={}", stand_in.address);
        let _ = tokio::signal::ctrl_c().await;
    });
}
