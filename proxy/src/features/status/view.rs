//! What the status page shows, as JSON and as HTML.

use super::super::quota::QuotaStatus;
use super::records::StatusRecorder;
use crate::http::Engine;
use flaxhead_engine::{Health, HostView};
use flaxhead_policy::ClassId;
use html_escape::encode_safe;
use hyper::body::Bytes;
use serde::Serialize;
use std::fmt::Write;
use std::net::SocketAddr;

const HTML_START: &str =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>flaxhead</title></head><body>\n\
                          <h1>flaxhead</h1>\n";
const HTML_HOSTS_START: &str =
    "<table><tr><th>host</th><th>dial</th><th>health</th><th>last errors</th></tr>\n";
const HTML_CLASSES_START: &str =
    "<table><tr><th>class</th><th>in hand</th><th>requests</th><th>per second</th></tr>\n";
const HTML_TABLE_END: &str = "</table>\n";
const HTML_END: &str = "</body></html>\n";

/// A host on the page.
#[derive(Debug, Serialize)]
pub struct HostSummary {
    /// The host's name.
    pub host: String,
    /// The address where it listens.
    pub dial: SocketAddr,
    /// Its health according to the endpoint list.
    pub health: Health,
    /// Its last errors in the platform's terms, the latest last.
    pub last_errors: Vec<&'static str>,
}

/// The load of a class on the page.
#[derive(Debug, Serialize)]
pub struct ClassLoad {
    /// The class's name.
    pub class: String,
    /// Calls that wait for their response.
    #[serde(rename = "in_hand")]
    pub in_flight: usize,
    /// Requests since the start.
    pub requests: u64,
    /// Requests a second, since the page was last rendered.
    pub per_second: f64,
}

/// All that the page shows.
#[derive(Debug, Serialize)]
pub struct StatusView {
    /// The program's version.
    pub version: &'static str,
    /// Whole seconds since the start.
    pub uptime_s: u64,
    /// The listed hosts, by name.
    pub hosts: Vec<HostSummary>,
    /// The classes, in the order of the settings.
    pub load: Vec<ClassLoad>,
    /// The tenants' quotas, where `[shares]` is on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shares: Option<QuotaStatus>,
}

impl StatusView {
    /// The engine as it is now, with classes of these names.
    pub(super) fn new(
        engine: &Engine,
        StatusRecorder(records): &StatusRecorder,
        classes: &[String],
    ) -> StatusView {
        let records = records.borrow();
        engine.view(|view| {
            let host = |host: HostView| HostSummary {
                host: host.name.to_owned(),
                dial: host.address,
                health: host.health,
                last_errors: records.errors(host.server),
            };
            let mut hosts: Vec<HostSummary> = view.hosts().map(host).collect();
            hosts.sort_by(|one, other| one.host.cmp(&other.host));
            let load = classes.iter().enumerate().map(|(class, name)| ClassLoad {
                class: name.clone(),
                in_flight: view.calls().filter(|call| call.is_pending && call.class.0 == class).count(),
                requests: records.requests(ClassId(class)),
                per_second: 0.0,
            });
            StatusView {
                version: env!("CARGO_PKG_VERSION"),
                uptime_s: view.uptime().as_secs(),
                hosts,
                load: load.collect(),
                shares: None,
            }
        })
    }

    /// The page as HTML. Writing to a string cannot fail.
    pub(super) fn html(&self) -> String {
        let mut page = HTML_START.to_owned();
        let _ = writeln!(page, "<p>Version {}, up {} s</p>", self.version, self.uptime_s);
        page += HTML_HOSTS_START;
        for HostSummary { host, dial, health, last_errors } in &self.hosts {
            let host = encode_safe(host);
            let errors = last_errors.join(", ");
            let _ =
                writeln!(page, "<tr><td>{host}</td><td>{dial}</td><td>{health:?}</td><td>{errors}</td></tr>");
        }
        page += HTML_TABLE_END;
        page += HTML_CLASSES_START;
        for ClassLoad { class, in_flight, requests, per_second } in &self.load {
            let class = encode_safe(class);
            let _ = writeln!(
                page,
                "<tr><td>{class}</td><td>{in_flight}</td><td>{requests}</td><td>{per_second:.1}</td></tr>"
            );
        }
        page += HTML_TABLE_END;
        page += &self.shares.as_ref().map_or_else(String::new, QuotaStatus::html);
        page + HTML_END
    }
}

/// The page in both formats.
#[derive(Debug, Default)]
pub(super) struct RenderedPage {
    pub(super) html: Bytes,
    pub(super) json: Bytes,
}

impl RenderedPage {
    pub(super) fn new(view: &StatusView) -> RenderedPage {
        let json = serde_json::to_vec(view).unwrap_or_default();
        RenderedPage { html: view.html().into(), json: json.into() }
    }
}
