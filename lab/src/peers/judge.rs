//! Judges what proxies show of each other: by their side ports, never by their logs.

use super::rig::Shown;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What came of a run's peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerFigures {
    /// Looks at a proxy that were answered.
    pub looks: usize,
    /// Who took whom for gone while that very process ran, each once.
    pub mistaken: Vec<(String, String)>,
    /// How long after the last fault all views were the same, in seconds; `None`: not in time.
    pub agreed_after_s: Option<f64>,
    /// Who found themselves cut off at any time.
    pub cut_off: Vec<String>,
}

/// Sees what is shown, one look after the other.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    /// The life of each name, by its own word, and whether it runs.
    lives: BTreeMap<String, String>,
    stopped: BTreeSet<String>,
    excused: BTreeSet<String>,
    mistaken: BTreeSet<(String, String)>,
    cut_off: BTreeSet<String>,
    looks: usize,
}

impl Judge {
    /// These may be taken for gone: nothing that they say is heard.
    pub fn excusing(excused: impl IntoIterator<Item = String>) -> Judge {
        Judge { excused: excused.into_iter().collect(), ..Judge::default() }
    }

    /// A process has been killed: nobody can be mistaken about that life any longer.
    pub fn killed(&mut self, name: &str) {
        self.lives.remove(name);
        self.stopped.insert(name.to_owned());
    }

    /// A process runs again.
    pub fn started(&mut self, name: &str) {
        self.stopped.remove(name);
    }

    /// What a process that runs shows.
    pub fn see(&mut self, shown: &Shown) {
        self.looks += 1;
        if self.stopped.contains(&shown.me) {
            return;
        }
        let own = shown.members.iter().find(|m| m.name == shown.me);
        if let Some(own) = own {
            self.lives.insert(shown.me.clone(), own.life.clone());
        }
        if shown.cut_off.is_some() {
            self.cut_off.insert(shown.me.clone());
        }
        for member in shown.members.iter().filter(|m| m.state == "dead" || m.state == "left") {
            let runs = self.lives.get(&member.name) == Some(&member.life);
            if runs && !self.excused.contains(&member.name) {
                self.mistaken.insert((shown.me.clone(), member.name.clone()));
            }
        }
    }

    /// What it comes to, with the time that it took all to agree.
    pub fn figures(&self, agreed_after_s: Option<f64>) -> PeerFigures {
        let mistaken = self.mistaken.iter().cloned().collect();
        PeerFigures {
            looks: self.looks,
            mistaken,
            agreed_after_s,
            cut_off: self.cut_off.iter().cloned().collect(),
        }
    }
}

impl PeerFigures {
    /// What was to hold and did not, in words.
    pub fn unheld(&self, within_s: f64) -> Vec<String> {
        let mistaken = self.mistaken.iter().map(|(by, of)| format!("{by} took {of} for gone while it ran"));
        let apart =
            self.agreed_after_s.is_none().then(|| format!("views were not the same within {within_s} s"));
        let unseen = (self.looks == 0).then(|| "no proxy showed its members".to_owned());
        mistaken.chain(apart).chain(unseen).collect()
    }
}
