//! Plug-ins as members among client proxies.

use crate::rig::{config, eventually};
use flaxhead_lab::peers::relay::Relay;
use flaxhead_membership::{Config, Name, State};
use flaxhead_peers::Settings;
use flaxhead_rpc::{Hosts, List, Peering, Plugin};

fn member(relay: &Relay, place: usize) -> Plugin {
    let settings = Settings {
        listen: relay.own(place),
        advertise: relay.front(place),
        contacts: vec![relay.front(0)],
        cluster: "rig".into(),
        networks: vec!["127.0.0.0/8".parse().expect("a network")],
        config: Config::default(),
    };
    let name = Name::new(&format!("app{place}")).expect("a name");
    let hosts = Hosts::Fixed(List { seq: 1, whole: true, hosts: Vec::new() });
    Plugin::start_among(config(""), hosts, 7 + place as u64, Some(Peering { name, settings }))
        .expect("it starts")
}

#[test]
fn plug_ins_know_of_each_other_and_an_unloaded_one_has_left() {
    let relay = Relay::start(3, 1).expect("a relay");
    let mut all: Vec<Plugin> = (0..3).map(|place| member(&relay, place)).collect();
    let sees = |plugin: &Plugin, count: usize| {
        plugin.members().is_some_and(|shown| shown.view.running().count() == count)
    };
    eventually("all know of each other", || all.iter().all(|plugin| sees(plugin, 3)));
    drop(all.pop());
    let name = Name::new("app2").expect("a name");
    let left = |plugin: &Plugin| {
        plugin.members().and_then(|shown| shown.view.member(&name).map(|m| m.state)) == Some(State::Left)
    };
    eventually("the others know that it left", || all.iter().all(left));
}

#[test]
fn a_plug_in_without_peers_has_no_members() {
    let hosts = Hosts::Fixed(List { seq: 1, whole: true, hosts: Vec::new() });
    let plugin = Plugin::start(config(""), hosts, 7).expect("it starts");
    assert!(plugin.members().is_none());
}
