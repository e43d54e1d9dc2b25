//! Names of members, and what orders the updates on one.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum sequence number, beyond which a process takes the next generation: far more than an hour of suspicions.
const MAX_SEQUENCE: u32 = 1 << 20;
/// Generations that one update may skip: a member can have missed so many restarts, not more.
const MAX_GENERATION_STEP: u32 = 1 << 16;

/// A member's name, the same after a restart: 1 to 64 bytes, printable ASCII without blanks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Why a text is no name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a name has 1 to {MAX_NAME_BYTES} printable characters of ASCII and no blanks")]
pub struct NameError;

impl Name {
    /// Checks a text.
    ///
    /// # Errors
    ///
    /// Where the text is empty, too long, or has other characters.
    pub fn new(text: &str) -> Result<Name, NameError> {
        let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        let is_good = (1..=MAX_NAME_BYTES).contains(&text.len()) && is_printable;
        is_good.then(|| Name(text.into())).ok_or(NameError)
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Name, NameError> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Which of two updates on a member is newer. No clock takes part: a process that starts takes generation 1 and, once it
/// hears of another process with its name, the generation after that one's. So a restart is told from the process before
/// though the machine's clock went back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// Counts the processes that had the name.
    pub generation: u32,
    /// Identifies the process; drawn at its start, so that two processes are told apart that took the same generation
    /// unknown to each other.
    pub incarnation: u64,
    /// Counts what the process has announced of itself, one more with each refutation. SWIM calls this number the
    /// incarnation.
    pub sequence: u32,
}

impl Stamp {
    /// The stamp of a process that starts.
    pub fn first(incarnation: u64) -> Stamp {
        Stamp { generation: 1, incarnation, sequence: 0 }
    }

    /// The stamp of the same process that supersedes what was `said` of it.
    pub(crate) fn after(self, said: Stamp) -> Stamp {
        let is_same_process = said.incarnation == self.incarnation;
        let last = self.sequence.max(if is_same_process { said.sequence } else { 0 });
        if said.generation > self.generation || last >= MAX_SEQUENCE {
            return self.superseding(said);
        }
        Stamp { sequence: last + 1, ..self }
    }

    /// The stamp of this process that supersedes another process's with the same name.
    pub(crate) fn superseding(self, other: Stamp) -> Stamp {
        let generation = self.generation.max(other.generation).saturating_add(1);
        Stamp { generation, sequence: 0, ..self }
    }

    /// Whether an update may bring this stamp where `known` is known. What no member announces by itself is not believed,
    /// so that no member can be driven to the top of the count, where it could refute nothing.
    pub(crate) fn is_plausible(self, known: Option<Stamp>) -> bool {
        let base = known.map_or(0, |known| known.generation);
        self.sequence <= MAX_SEQUENCE && self.generation <= base.saturating_add(MAX_GENERATION_STEP)
    }
}
