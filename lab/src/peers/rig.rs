//! Real client proxies that know of each other, with the relay between them.

use super::relay::Relay;
use crate::experiment::Experiment;
use crate::ports::free_address;
use crate::proxy::{configuration, Program, Proxy};
use serde_json::{json, Value};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// What a proxy shows of the members.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct Shown {
    /// Its name.
    pub me: String,
    /// The same for two that take the same members in the same lives to run.
    pub digest: String,
    /// How it finds itself cut off.
    pub cut_off: Option<String>,
    /// Another has its name and stays.
    pub displaced: bool,
    /// It may take part in what is settled in common.
    pub takes_part: bool,
    /// The members.
    pub members: Vec<ShownMember>,
    /// What came and was not taken, by reason.
    pub rejected: std::collections::BTreeMap<String, u64>,
}

/// A member, as a proxy shows it.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct ShownMember {
    /// Its name.
    pub name: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Its process.
    pub life: String,
    /// How often its name was started.
    pub generation: u32,
    /// How it finds itself cut off.
    pub cut_off: Option<String>,
    /// Which ways work.
    pub reach: Value,
}

impl Shown {
    /// The names that are taken to run.
    pub fn running(&self) -> Vec<&str> {
        let runs = |m: &&ShownMember| m.state == "alive" || m.state == "suspect";
        self.members.iter().filter(runs).map(|m| m.name.as_str()).collect()
    }

    /// The state of a member.
    pub fn state(&self, name: &str) -> Option<&str> {
        self.members.iter().find(|m| m.name == name).map(|m| m.state.as_str())
    }
}

/// The processes of a rig.
pub struct Rig {
    // Ended before the relay gives up their network.
    proxies: Vec<Option<Proxy>>,
    /// What is between them.
    pub relay: Relay,
    program: Program,
    folder: PathBuf,
    seed: u64,
    starts: u64,
    names: Vec<String>,
    /// What each operators' file holds beside the peers.
    section: String,
}

fn name(place: usize) -> String {
    format!("n{place}")
}

/// An operators' file for one process: its peers and a side port.
pub fn own_file(relay: &Relay, place: usize, contacts: &[usize]) -> String {
    let contacts: Vec<String> =
        contacts.iter().map(|&c| format!("{:?}", relay.front(c).to_string())).collect();
    format!(
        "[status]\nlisten_port = {}\nrefresh_ms = 1000\n[peers]\nlisten = \"{}\"\nadvertise = \"{}\"\n\
         contacts = [{}]\ncluster = \"rig\"\nnetworks = [\"127.0.0.0/8\"]\n",
        relay.side(place).port(),
        relay.own(place),
        relay.front(place),
        contacts.join(", "),
    )
}

impl Rig {
    /// Starts so many processes that know the first two as contacts.
    pub fn start(count: usize, program: Program, folder: &Path, seed: u64) -> io::Result<Rig> {
        Rig::start_with(count, program, folder, seed, "")
    }

    /// The same, with more in each operators' file. They are ready once they all say so.
    pub fn start_with(
        count: usize,
        program: Program,
        folder: &Path,
        seed: u64,
        section: &str,
    ) -> io::Result<Rig> {
        let relay = Relay::start(count, seed)?;
        let names = (0..count).map(name).collect();
        let proxies = (0..count).map(|_| None).collect();
        let mut rig = Rig {
            relay,
            proxies,
            program,
            folder: folder.into(),
            seed,
            starts: 0,
            names,
            section: section.to_owned(),
        };
        for place in 0..count {
            fs::write(rig.own_path(place), own_file(&rig.relay, place, &[0, 1]) + &rig.section)?;
        }
        (0..count).try_for_each(|place| rig.launch(place))?;
        rig.proxies.iter_mut().flatten().try_for_each(Proxy::ready)?;
        Ok(rig)
    }

    fn own_path(&self, place: usize) -> PathBuf {
        self.folder.join(format!("{}.toml", name(place)))
    }

    fn launch(&mut self, place: usize) -> io::Result<()> {
        let text = "name = \"peers\"\nseconds = 1\nfleet = { nodes = [{ count = 1 }] }\n[[load]]\nshape = \"steady\"\nrate = 1\n";
        let experiment = Experiment::parse(text, "rig").map_err(io::Error::other)?;
        // A host that is never asked makes the proxy ready; nobody tells of others.
        let host =
            json!({"host": "s-0", "dial": "127.0.0.1:9", "health": "Ready", "share": 1.0, "born_ms": 0});
        let list = json!({"seq": 1, "whole": true, "hosts": [host]});
        let (listen, nowhere) = (self.relay.listen(place), free_address()?);
        self.starts += 1;
        let seed = self.seed.wrapping_add(self.starts << 16);
        let mut config = configuration(&experiment, 0, seed, listen, nowhere, &list);
        config["name"] = self.names[place].clone().into();
        let own_file = self.own_path(place);
        self.proxies[place] = Some(Proxy::start(&self.program, &config, Some(&own_file), &self.folder)?);
        Ok(())
    }

    /// The process at a place, while it runs.
    pub fn proxy(&mut self, place: usize) -> Option<&mut Proxy> {
        self.proxies.get_mut(place)?.as_mut()
    }

    /// The places of those that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.proxies.len()).filter(|&place| self.proxies[place].is_some()).collect()
    }

    /// Kills a process.
    pub fn kill(&mut self, place: usize) {
        if let Some(mut proxy) = self.proxies[place].take() {
            proxy.kill();
            self.relay.down(place);
        }
    }

    /// Has a process stop as it is asked to, and waits until it has.
    pub fn stop(&mut self, place: usize) -> io::Result<()> {
        let Some(mut proxy) = self.proxies[place].take() else { return Ok(()) };
        proxy.stop()?;
        self.relay.down(place);
        Ok(())
    }

    /// Starts a process again, with its name and without memory.
    pub fn restart(&mut self, place: usize) -> io::Result<()> {
        self.relay.up(place)?;
        self.launch(place)?;
        self.proxies[place].as_mut().map_or(Ok(()), Proxy::ready)
    }

    /// Starts all that do not run again, without waiting for one of them before the next.
    pub fn restart_all(&mut self) -> io::Result<()> {
        for place in 0..self.proxies.len() {
            if self.proxies[place].is_none() {
                self.relay.up(place)?;
                self.launch(place)?;
            }
        }
        self.proxies.iter_mut().flatten().try_for_each(Proxy::ready)
    }

    /// Has the process at a place have another's name from its next start on.
    pub fn rename(&mut self, place: usize, name: &str) {
        self.names[place] = name.to_owned();
    }

    /// What the process at a place has written.
    pub fn log(&self, place: usize) -> String {
        fs::read_to_string(self.folder.join(format!("{}.log", self.names[place]))).unwrap_or_default()
    }

    /// Stops a process where it stands, or lets it go on.
    pub fn freeze(&self, place: usize, on: bool) -> io::Result<()> {
        self.proxies[place].as_ref().map_or(Ok(()), |proxy| proxy.freeze(on))
    }

    /// Cuts every way between two groups, or mends it.
    pub fn split(&self, one: &[usize], other: &[usize], cut: bool) {
        for &a in one {
            for &b in other {
                self.relay.set(a, b, |fault| fault.cut = cut);
                self.relay.set(b, a, |fault| fault.cut = cut);
            }
        }
    }

    /// What a process shows.
    pub fn shown(&self, place: usize) -> io::Result<Shown> {
        shown(self.relay.side(place))
    }

    /// What all show that run and answer.
    pub fn all_shown(&self) -> Vec<(usize, Shown)> {
        self.running().into_iter().filter_map(|place| Some((place, self.shown(place).ok()?))).collect()
    }

    /// Whether all that run show each other, in one view, and nobody else.
    pub fn agreed(&self) -> bool {
        let running: Vec<String> = self.running().into_iter().map(name).collect();
        agreed(&self.all_shown(), &running)
    }

    /// Looks until something holds; how long it took. An error says what was shown last.
    pub fn until(&self, what: &str, most: Duration, holds: impl Fn(&Rig) -> bool) -> io::Result<Duration> {
        let start = Instant::now();
        while start.elapsed() < most {
            if holds(self) {
                return Ok(start.elapsed());
            }
            std::thread::sleep(LOOK);
        }
        let seen: Vec<String> = self.all_shown().iter().map(|(place, s)| brief(*place, s)).collect();
        Err(io::Error::other(format!("never: {what}; {}", seen.join("; "))))
    }
}

/// Whether all of these that run show each other, in one view, and nobody else.
pub fn agreed(shown: &[(usize, Shown)], running: &[String]) -> bool {
    let mut wanted: Vec<&str> = running.iter().map(String::as_str).collect();
    wanted.sort_unstable();
    let first = shown.first().map(|(_, s)| s.digest.as_str());
    let alike = shown.iter().all(|(_, s)| {
        let mut names = s.running();
        names.sort_unstable();
        names == wanted && Some(s.digest.as_str()) == first
    });
    alike && shown.len() == running.len()
}

fn brief(place: usize, shown: &Shown) -> String {
    let members: Vec<String> = shown
        .members
        .iter()
        .map(|m| format!("{}={}@{}.{:.4}", m.name, m.state, m.generation, m.life))
        .collect();
    let Shown { digest, cut_off, displaced, .. } = shown;
    format!("n{place} {digest} {cut_off:?} {displaced} [{}]", members.join(" "))
}

/// What the process with this side port shows.
pub fn shown(side: SocketAddr) -> io::Result<Shown> {
    let (text, _) = flaxhead_proxy::members::ask(side)?;
    serde_json::from_str(&text).map_err(io::Error::other)
}
