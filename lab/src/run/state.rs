//! What proxies keep on disk, and what is done to it while they are down.

use crate::experiment::Kept;
use crate::model::node::Micros;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// A folder for each proxy, and the copies that were taken of them.
#[derive(Clone, Debug)]
pub(super) struct Folders {
    folder: PathBuf,
    /// When a copy is taken, to be put back as an old state.
    pub(super) old_at: Micros,
}

impl Folders {
    /// Makes empty ones for so many proxies.
    pub(super) fn make(folder: &Path, count: usize, old_at: Micros) -> io::Result<Folders> {
        let folders = Folders { folder: folder.join("state"), old_at };
        for number in 0..count {
            cleared(&folders.own(number))?;
        }
        Ok(folders)
    }

    fn own(&self, number: usize) -> PathBuf {
        self.folder.join(format!("n{number}"))
    }

    fn old(&self, number: usize) -> PathBuf {
        self.folder.join(format!("n{number}.old"))
    }

    /// The section of a proxy's operators' file.
    pub(super) fn section(&self, number: usize) -> String {
        format!("[state]\ndir = {:?}\n", self.own(number).display().to_string())
    }

    /// Copies what a proxy keeps now.
    pub(super) fn copy(&self, number: usize) -> io::Result<()> {
        copied(&self.own(number), &self.old(number))
    }

    /// What the proxy finds when it starts.
    pub(super) fn put(&self, number: usize, kept: Kept) -> io::Result<()> {
        match kept {
            Kept::Keep => Ok(()),
            Kept::Lose => cleared(&self.own(number)),
            Kept::Old => copied(&self.old(number), &self.own(number)),
        }
    }
}

fn cleared(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => fs::create_dir_all(folder),
    }
}

/// The files of a folder, and of no folder within it.
fn copied(from: &Path, to: &Path) -> io::Result<()> {
    cleared(to)?;
    for file in fs::read_dir(from)? {
        let file = file?;
        if file.file_type()?.is_file() {
            match fs::copy(file.path(), to.join(file.file_name())) {
                // One that is written anew is renamed meanwhile.
                Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
