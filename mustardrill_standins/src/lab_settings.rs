//! Settings files of a lab's entries and agents.

use std::net::SocketAddr;

use mustardrill_core::membership::InstanceRecord;

use crate::lab::{CUSTOMER_TOKEN, LabOptions, OPERATOR_TOKEN, SECOND_OPERATOR_TOKEN};

/// Options and addresses that the settings files of a lab are written from.
pub(crate) struct LabSettings<'a> {
    pub(crate) options: &'a LabOptions,
    pub(crate) key_value: SocketAddr,
    pub(crate) instances: SocketAddr,
    pub(crate) origin: SocketAddr,
}

impl LabSettings<'_> {
    /// The settings of an agent for the upstream at this address; `engine` says of which kind that is.
    pub(crate) fn agent(
        &self,
        record: &InstanceRecord,
        upstream: SocketAddr,
        engine: bool,
    ) -> String {
        let (rate, checks) = (self.options.machine_rate, self.options.checks_fencing);
        let InstanceRecord { id, service, data_centre, region, .. } = record;
        let sections = [
            (
                "agent",
                format!(
                    "instance = {id}\ndata_centre = {data_centre}\nregion = {region}\nservice = {service}\nlisten = 127.0.0.1:0\ntick = 10ms"
                ),
            ),
            ("platform", self.platform_lines()),
            (
                "upstream",
                format!(
                    "address = {upstream}\nengine = {engine}\nchecks_fencing = {checks}\nlease = 3s\nmargin = 1s\nlongest_order = 2s"
                ),
            ),
            (
                "weights",
                format!(
                    "origin = {}\nupload_rate = {rate}B/s\ndownload_rate = {rate}B/s\nretry_every = 100ms\nexchange_every = 50ms",
                    self.origin
                ),
            ),
        ];
        write_settings(&sections, &self.options.agent_lines)
    }

    /// The settings of the entry with this index; even and odd ones are in different data centres.
    pub(crate) fn entry(&self, index: usize) -> String {
        let centre = if index.is_multiple_of(2) { "gc-hall-a" } else { "xela-hall" };
        let sections = [
            (
                "entry",
                format!(
                    "instance = entry-{index}\ndata_centre = {centre}\nlisten = 127.0.0.1:0\noperator_listen = 127.0.0.1:0"
                ),
            ),
            ("platform", self.platform_lines()),
            ("weights", format!("origin = {}", self.origin)),
            ("routing", "sync_every = 200ms".to_owned()),
            (
                "customers",
                format!("comedor = {CUSTOMER_TOKEN}\ninspector = lab-customer-inspector"),
            ),
            ("operators", format!("ana = {OPERATOR_TOKEN}\nbeto = {SECOND_OPERATOR_TOKEN}")),
        ];
        write_settings(&sections, &self.options.entry_lines)
    }

    fn platform_lines(&self) -> String {
        let (key_value, instances) = (self.key_value, self.instances);
        format!(
            "key_value = {key_value}\ninstances = {instances}\nlist_every = 100ms\ntimeout = 500ms\nretry_after = 200ms"
        )
    }
}

fn write_settings(sections: &[(&str, String)], extra_lines: &[(&'static str, String)]) -> String {
    let mut text = String::new();
    for (section, lines) in sections {
        let section_lines: Vec<_> =
            extra_lines.iter().filter(|(name, _)| name == section).collect();
        let replaced_keys: Vec<_> =
            section_lines.iter().filter_map(|(_, line)| line.split(" = ").next()).collect();
        text.push_str(&format!("[{section}]\n"));
        // An extra line replaces the default line with the same key.
        for line in lines.lines() {
            if !replaced_keys.contains(&line.split(" = ").next().unwrap_or_default()) {
                text.push_str(&format!("{line}\n"));
            }
        }
        section_lines.iter().for_each(|(_, line)| text.push_str(&format!("{line}\n")));
    }
    for (section, line) in extra_lines {
        if !sections.iter().any(|(name, _)| name == section) {
            text.push_str(&format!("[{section}]\n{line}\n"));
        }
    }
    text
}
