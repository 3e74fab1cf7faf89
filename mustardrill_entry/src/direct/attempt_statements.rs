//! What an answer states about its upstream: reported, logged and counted.

use std::fmt::Display;

use cadence::Counted;
use hyper::{HeaderMap, StatusCode};
use mustardrill_core::direct::{DirectEvent, StatedValue, UpstreamStatement};

use crate::direct::attempt::Attempt;

impl Attempt<'_> {
    /// Reports what the answer states about its upstream, if anything.
    pub(super) async fn report_statement(&self, status: StatusCode, headers: &HeaderMap) {
        let statement = self.task.context.adapters.dialect.read_statement(status, headers);
        if statement.is_absent() {
            return;
        }
        self.log_statement(status, &statement);
        self.task.report(DirectEvent::UpstreamStated(self.number, statement)).await;
    }

    fn log_statement(&self, status: StatusCode, statement: &UpstreamStatement) {
        let plan = &self.plan;
        let UpstreamStatement { limit, leaving, rest, cold_for } = statement;
        self.check_statement(
            "limit",
            limit,
            "one decimal number of requests per second, such as 2.5",
        );
        self.check_statement("leaving", leaving, "1 from an upstream that leaves");
        self.check_statement(
            "rest",
            rest,
            "one decimal number of seconds up to 86400, such as 2.5",
        );
        self.check_statement(
            "cold",
            cold_for,
            "one decimal number of milliseconds up to 600000, such as 2500",
        );
        if leaving.value == Some(true) || rest.value.is_some() {
            log::info!(
                "request={} instance={} start={} status={} leaving={} rest={}",
                self.task.caller_request_id,
                plan.upstream,
                plan.start,
                status.as_u16(),
                u8::from(leaving.value == Some(true)),
                rest.value.map_or("none".into(), |rest| rest.to_string()),
            );
        }
    }

    /// Counts a statement, and logs one that is malformed.
    fn check_statement<T: Display>(&self, name: &str, stated: &StatedValue<T>, expected: &str) {
        if stated.is_absent() {
            return;
        }
        if let Some(text) = &stated.malformed {
            log::warn!(
                "request={} instance={} {name}=malformed value={text:?} used={} expected=\"{expected}\"",
                self.task.caller_request_id,
                self.plan.upstream,
                stated.value.as_ref().map_or("none".into(), |value| value.to_string())
            );
        }
        let form = if stated.malformed.is_some() { "malformed" } else { "valid" };
        let _ = self.task.context.metrics.count(&format!("{name}_statements.{form}"), 1);
    }
}
