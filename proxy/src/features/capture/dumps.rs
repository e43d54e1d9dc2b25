//! The ring written out, to a folder or into the log.

use super::form::{FOLLOWS, MARK};
use super::Recorder;
use crate::output;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::cell::RefCell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::thread;
use tokio::signal::unix::Signal;
use tokio::sync::oneshot;

/// Bytes that a line of a dump stands for.
const BYTES_PER_LINE: usize = 570;

/// Writes the ring out whenever the signal comes.
#[derive(Debug)]
pub struct Dumps {
    signal: Signal,
    dir: Option<PathBuf>,
}

impl Dumps {
    /// Dumps on a signal, to a folder or to standard error.
    pub fn new(signal: Signal, dir: Option<PathBuf>) -> Dumps {
        Dumps { signal, dir }
    }

    /// Descriptors that they need at the most.
    pub fn descriptors(&self) -> usize {
        usize::from(self.dir.is_some())
    }

    /// Waits for the signal, for good. One that comes during a dump leads to another behind it.
    pub async fn serve(mut self, ring: Rc<RefCell<Recorder>>) {
        while self.signal.recv().await.is_some() {
            // Not before there is something to write: until then the process has the one thread that serves.
            if let Err(error) = self.dir.as_ref().map_or_else(output::start, |_| Ok(())) {
                tracing::info!("capture: no thread for a dump: {error}");
                continue;
            }
            // One file is in hand at a time; one that the ring drops meanwhile is left out.
            let mut bytes = Vec::new();
            let numbers = ring.borrow().numbers();
            for number in numbers {
                let copied = ring.borrow().copy(number, &mut bytes);
                let Some(name) = copied else {
                    tracing::info!("capture: file {number} was dropped before it was written");
                    continue;
                };
                bytes = self.write(name, bytes).await;
            }
        }
    }

    /// Has a thread write a file, which may take as long as it likes.
    async fn write(&self, name: String, bytes: Vec<u8>) -> Vec<u8> {
        let (done, written) = oneshot::channel();
        let dir = self.dir.clone();
        let write = move || {
            let result = match &dir {
                Some(dir) => write_file(dir, &name, &bytes),
                None => {
                    write_lines(&name, &bytes);
                    Ok(())
                }
            };
            if let Err(error) = result {
                tracing::info!("capture: {name}: {error}");
            }
            // Whoever waited may have gone.
            let _ = done.send(bytes);
        };
        if let Err(error) = thread::Builder::new().name("capture".to_owned()).spawn(write) {
            tracing::info!("capture: {error}");
        }
        written.await.unwrap_or_default()
    }
}

/// A file is there whole or not at all.
fn write_file(dir: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let part = dir.join(format!("{name}.part"));
    fs::write(&part, bytes)?;
    fs::rename(part, dir.join(name))
}

/// One line at a time is on its way, so that the log keeps its place.
fn write_lines(name: &str, bytes: &[u8]) {
    output::put_and_wait(output::format(&format!("{FOLLOWS}{name}"), None));
    for part in bytes.chunks(BYTES_PER_LINE) {
        output::put_and_wait(format!("{MARK}{}\n", STANDARD.encode(part)));
    }
}
