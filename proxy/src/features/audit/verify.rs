//! The check of a trail that was written.

use super::chain::{Chain, Line, MAX_LINE_BYTES};
use super::error::Break;
use std::io::{self, BufRead, Read};

/// What became of a check.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// So many lines, and all of them in order.
    Whole(u64),
    /// The first line that is not as it was written, by the `seq` that belongs there.
    Broken {
        /// Its number.
        seq: u64,
        /// What is wrong.
        reason: Break,
    },
}

/// Checks a trail from its first line on, or one that begins mid-chain behind the line with the hash `from`.
pub fn verify(mut trail: impl BufRead, from: Option<&str>) -> io::Result<Verdict> {
    let mut chain = Chain::first();
    let (mut lines, mut bytes) = (0, Vec::new());
    loop {
        bytes.clear();
        (&mut trail).take(MAX_LINE_BYTES as u64).read_until(b'\n', &mut bytes)?;
        if bytes.is_empty() {
            return Ok(Verdict::Whole(lines));
        }
        if let Some(from) = from.filter(|_| lines == 0) {
            // Which number comes first there, only the line itself can tell.
            let seq = serde_json::from_slice(&bytes).map_or(1, |line: Line| line.seq);
            chain = Chain { seq, prev: from.to_owned() };
        }
        let Some(line) = bytes.strip_suffix(b"\n") else {
            return Ok(Verdict::Broken { seq: chain.seq, reason: Break::CutOff });
        };
        if let Err(reason) = chain.follow(line) {
            let seq = chain.seq;
            let reason = match serde_json::from_slice::<Line>(line) {
                Ok(line) if lines == 0 && from.is_none() && line.seq > 1 => Break::MidChain,
                _ => reason,
            };
            return Ok(Verdict::Broken { seq, reason });
        }
        lines += 1;
    }
}
