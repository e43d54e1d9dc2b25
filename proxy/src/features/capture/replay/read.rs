//! Captured files as they are read: from a ring file, or from standard error as it was saved.

use super::super::form::{frame, version, Frame, Item, Record, FOLLOWS, MARK, SEED};
use super::error::Error;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use flaxhead_policy::Micros;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;

/// Most bytes of captured files that are read: a ring holds under 1 MB, a saved log may hold some of them.
const BYTES_MOST: usize = 16 << 20;
/// Longest line of a saved log that is read as one; a dump's lines are far shorter.
const LINE_MOST: usize = 16 << 10;

/// A request as it was captured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// When it came, in microseconds since the start.
    pub at: Micros,
    /// Its class.
    pub class: String,
    /// Whose it is.
    pub caller: String,
    /// How long its client waits, in milliseconds.
    pub budget_ms: u64,
}

/// The requests in a ring file, or in standard error as it was saved, in the order of time. What is cut off or
/// damaged ends its file.
///
/// # Errors
///
/// Where it cannot be read, or holds no captured file.
pub fn requests(path: &Path) -> Result<Vec<Asked>, Error> {
    let pieces = read(path, &mut |_| ());
    let pieces = pieces.map_err(|problem| Error { file: path.to_owned(), problem: problem.into() })?;
    let mut requests = Vec::new();
    for piece in &pieces {
        let mut rest = piece.as_slice();
        while let Some((_, after)) = rest.split_first_chunk::<SEED>() {
            rest = after;
            // The version and the opening say nothing of requests.
            let (Frame::Body(_), Frame::Body(_)) = (frame(&mut rest), frame(&mut rest)) else { break };
            while let Frame::Body(body) = frame(&mut rest) {
                let Ok(Record { ms, us, item }) = postcard::from_bytes(body) else { continue };
                if let Item::Asked { class, caller, budget_ms, .. } = item {
                    let at = ms.saturating_mul(1_000).saturating_add(us.into());
                    let (class, caller) = (class.into_owned(), caller.into_owned());
                    requests.push(Asked { at, class, caller, budget_ms });
                }
            }
        }
    }
    requests.sort_by_key(|asked| asked.at);
    Ok(requests)
}

/// The captured files in what is read, as pieces of one or more.
pub(super) fn read(path: &Path, warn: &mut dyn FnMut(String)) -> io::Result<Vec<Vec<u8>>> {
    let mut input = BufReader::new(File::open(path)?);
    let mut start = Vec::new();
    (&mut input).take(LINE_MOST as u64).read_to_end(&mut start)?;
    let mut input = start.as_slice().chain(input);
    if start.get(SEED..).is_some_and(|rest| version(&mut &rest[..]).is_some()) {
        let mut bytes = Vec::new();
        input.take(BYTES_MOST as u64).read_to_end(&mut bytes)?;
        return Ok(vec![bytes]);
    }
    let (mut pieces, mut piece, mut total) = (Vec::new(), Some(Vec::new()), 0);
    let (mut line, mut lines) = (Vec::new(), 0_u64);
    while {
        line.clear();
        (&mut input).take(LINE_MOST as u64).read_until(b'\n', &mut line)? > 0
    } {
        lines += 1;
        let text = line.trim_ascii_end();
        if text.strip_prefix(b"flaxhead: ").is_some_and(|text| text.starts_with(FOLLOWS.as_bytes())) {
            pieces.extend(piece.replace(Vec::new()));
        } else if let (Some(text), Some(bytes)) = (text.strip_prefix(MARK.as_bytes()), &mut piece) {
            match STANDARD.decode(text) {
                Ok(part) if total + part.len() <= BYTES_MOST => {
                    total += part.len();
                    bytes.extend(part);
                }
                Ok(_) => {
                    warn(format!(
                        "line {lines}: more than {BYTES_MOST} bytes are captured; the rest is left out"
                    ));
                    break;
                }
                Err(error) => {
                    warn(format!("line {lines}: {error}; the rest of its file is left out"));
                    pieces.extend(piece.take());
                }
            }
        }
    }
    pieces.extend(piece);
    pieces.retain(|piece| !piece.is_empty());
    if pieces.is_empty() {
        return Err(io::Error::other("neither a captured file nor lines that begin with CAP"));
    }
    Ok(pieces)
}
