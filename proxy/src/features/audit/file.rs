//! Where the lines go: standard error, or a file that is gone on with where it was left.

use super::chain::{Chain, Line, MAX_LINE_BYTES};
use super::error::Unusable;
use crate::output;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Pause after a failure to write, which space that is set free must end.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Where the lines go.
pub(super) enum Sink {
    Output,
    /// The file, and its length behind the last whole line.
    File(File, u64),
}

impl Sink {
    /// Writes a line whole, however long that takes.
    pub(super) fn append(&mut self, line: &str) {
        let Sink::File(file, length) = self else { return output::put_and_wait(line.to_owned()) };
        let mut failed = false;
        while let Err(error) = file.write_all(line.as_bytes()).and_then(|()| file.sync_data()) {
            if !failed {
                tracing::info!("audit: {error}");
            }
            failed = true;
            // A part of the line may stand there. If it cannot be taken back now, it can at the next start.
            let _ = file.set_len(*length);
            thread::sleep(RETRY_DELAY);
        }
        *length += line.len() as u64;
    }
}

/// Opens a trail to go on behind its last whole line; a part of one that stands behind that is taken out and returned.
pub(super) fn resume(path: &Path) -> Result<(Sink, Chain, Option<String>), Unusable> {
    let mut file = OpenOptions::new().create(true).read(true).append(true).open(path)?;
    file.try_lock().map_err(Unusable::Held)?;
    let length = file.metadata()?.len();
    let start = length.saturating_sub(2 * MAX_LINE_BYTES as u64);
    let mut tail = Vec::new();
    file.seek(SeekFrom::Start(start))?;
    (&mut file).take(length - start).read_to_end(&mut tail)?;
    let whole = tail.iter().rposition(|&byte| byte == b'\n').map_or(0, |end| end + 1);
    let (lines, torn) = tail.split_at(whole);
    let chain = match lines.split(|&byte| byte == b'\n').rev().nth(1) {
        None if start > 0 => return Err(Unusable::TooLong),
        None => Chain::first(),
        Some(last) => {
            let line: Line = serde_json::from_slice(last).map_err(Unusable::NotOurs)?;
            let mut chain = Chain { seq: line.seq, prev: line.prev };
            chain.follow(last).map_err(Unusable::Changed)?;
            chain
        }
    };
    let length = start + whole as u64;
    if torn.is_empty() {
        return Ok((Sink::File(file, length), chain, None));
    }
    let mut last = chain.clone();
    if last.follow(torn).is_ok() {
        // Only its end of line is missing.
        file.write_all(b"\n")?;
        return Ok((Sink::File(file, length + torn.len() as u64 + 1), last, None));
    }
    file.set_len(length)?;
    let torn = String::from_utf8_lossy(torn).into_owned();
    Ok((Sink::File(file, length), chain, Some(torn)))
}
