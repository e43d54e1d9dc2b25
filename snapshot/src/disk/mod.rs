//! The disk: read once at the start, written by a thread of its own. Nothing else waits for either.

mod clock;
mod folder;
mod keeper;
mod place;
mod trouble;

pub use clock::now;
pub use folder::Folder;
pub use keeper::{Figures, Keeper};
pub use place::{replace, Place};
pub use trouble::Trouble;

use crate::form;
use crate::judge::{judge, Bounds, Mine, Recollection};
use crate::refusal::Refusal;
use crate::snapshot::Snapshot;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// How long a start waits for what is kept. A disk that does not answer must not keep a proxy from serving.
const READ_MOST: Duration = Duration::from_secs(1);
/// How far in the future a file may have been written: clocks that are kept in step are set by less.
const AHEAD_MS: u64 = 1_000;
/// Writes within the bound of age, so that the age of a file tells when its process last lived.
const BEATS: u32 = 6;
/// Least time from one write to the next.
const PACE: Duration = Duration::from_millis(100);

/// How a proxy's state is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The folder. It may hold the files of many proxies, each under its name.
    pub dir: PathBuf,
    /// Whose they are.
    pub mine: Mine,
    /// Most age of what is taken.
    pub old: Duration,
}

/// State that is open.
#[derive(Debug)]
pub struct Opened {
    /// Takes what is to be kept.
    pub keeper: Keeper,
    /// What the process before kept, or why that counts as forgotten.
    pub recollection: Result<Recollection, Refusal>,
}

impl Start {
    /// Reads what is kept, and starts the thread that writes. A folder that cannot be used is no error: it is said by
    /// the recollection and in the log, and tried again for as long as the process lives.
    ///
    /// # Errors
    ///
    /// The system's, where it gives no thread.
    pub fn open(self) -> std::io::Result<Opened> {
        let Start { dir, mine, old } = self;
        let bounds = Bounds { old_ms: old.as_millis() as u64, ahead_ms: AHEAD_MS };
        let keeper = Keeper::new(PACE, (old / BEATS).max(PACE));
        let (told, heard) = mpsc::sync_channel(1);
        let writer = keeper.writer(mine.clone(), bounds);
        thread::Builder::new().name("state".to_owned()).spawn(move || {
            let mut folder = Folder::new(dir, &mine.proxy);
            let read = read(&mut folder);
            let life = read.as_ref().map_or(0, |snapshot| snapshot.header.life);
            let found = read.and_then(|snapshot| judge(snapshot, &mine, now(), bounds));
            if let Ok(found) = &found {
                writer.carry(found);
            }
            // Whoever asked may have given up.
            let _ = told.send(found);
            writer.serve(folder, life);
        })?;
        let late = || Refusal::Unreadable(format!("the disk does not answer within {READ_MOST:?}"));
        let recollection = heard.recv_timeout(READ_MOST).unwrap_or_else(|_| Err(late()));
        Ok(Opened { keeper, recollection })
    }
}

fn read(folder: &mut Folder) -> Result<Snapshot, Refusal> {
    match folder.ready() {
        Err(Trouble::InUse) => return Err(Refusal::InUse),
        Err(trouble) => return Err(Refusal::Unreadable(trouble.to_string())),
        Ok(()) => {}
    }
    form::read(&folder.read()?)
}

/// The file that a proxy of this name keeps its state in.
pub fn file(dir: &Path, proxy: &str) -> PathBuf {
    dir.join(format!("{}.state", folder::stem(proxy)))
}
