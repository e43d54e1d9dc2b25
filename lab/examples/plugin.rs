//! The plug-in against two stand-in hosts, one of which says GOAWAY and closes in the middle of its work.
//! `cargo run -p flaxhead-lab --example plugin`

use flaxhead_lab::stand_in::{Act, Host, Manner};
use flaxhead_rpc::{Health, Hosts, List, Plugin, Request, ServiceConfig};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::Duration;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let steady = Host::start(Manner::new(|_, _| Act::Answer).streams(8))?;
    let leaving =
        Host::start(Manner::new(|_, n| if n == 20 { Act::GoAwayAt(0) } else { Act::Answer }).streams(8))?;
    let class = |name: &str, kind: &str| {
        json!({"name": name, "objective_us": 500_000, "deadline_us": 2_000_000,
        "worth": 1.0, "late_value": 0.5, "idempotency": kind})
    };
    let config = json!({
        "methodConfig": [
            {"name": [{"service": "lesto.Payments", "method": "Balance"}], "class": "balance"},
            {"name": [{"service": "lesto.Payments", "method": "Send"}], "class": "send"},
        ],
        "connectionScaling": {"maxConnectionsPerSubchannel": 2},
        "flaxhead": {"settings": {
            "balancers": 1, "me": 0, "discovery": "push", "tick_us": 1_000,
            "classes": [class("balance", "free"), class("send", "single_shot")],
            "limits": {"cancel": true, "max_attempts": 3, "max_retry_after_us": 1_000_000},
            "invariants": {"cold_from": 0.5, "cold_us": 1_000_000},
        }},
    });
    let entry = |(name, host): (&str, &Host)| flaxhead_rpc::Host {
        host: name.to_owned(),
        dial: host.address,
        site: String::new(),
        block: 0,
        health: Health::Ready,
        class: String::new(),
        share: 1.0,
        born_ms: 0,
    };
    let hosts = [("steady", &steady), ("leaving", &leaving)].map(entry).to_vec();
    let plugin = Plugin::start(
        ServiceConfig::parse(&config.to_string())?,
        Hosts::Fixed(List { seq: 1, whole: true, hosts }),
        7,
    )?;
    let mut said = BTreeMap::<String, u32>::new();
    let channel = plugin.channel();
    let waiting: Vec<_> = (0..200)
        .map(|n| {
            let (path, timeout) = ("/lesto.Payments/Send".to_owned(), Some(Duration::from_secs(1)));
            let mut request = Request { path, message: vec![7; 64], timeout, ..Request::default() };
            if let Ok(id) = format!("call-{n}").parse() {
                request.metadata.insert("x-call-id", id);
            }
            channel.request(request)
        })
        .collect();
    for answer in waiting.into_iter().map(|call| call.wait()) {
        let line = match answer.code() {
            Some(code) => format!("{code} {}", answer.message()),
            None => "no status".to_owned(),
        };
        *said.entry(line.trim().to_owned()).or_default() += 1;
    }
    for (line, times) in said {
        println!("{times:>4}  {line}");
    }
    println!("steady got {}, leaving got {}", steady.count(), leaving.count());
    plugin.close(Duration::from_secs(3));
    Ok(())
}
