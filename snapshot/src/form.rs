//! A snapshot as bytes: eight that name it, its length, a checksum over the rest, the form's number, and the body in
//! postcard's encoding. The first four stand alike in every form, so that damage is told from another version.

use crate::refusal::Refusal;
use crate::snapshot::{Part, Snapshot, NAME_MOST, PARTS_MOST, PART_MOST};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// This program's form.
pub const FORM: u16 = 1;
/// Most bytes of a file, beyond which none is read.
pub const FILE_MOST: usize = 4 << 20;
const MARK: &[u8; 8] = b"FLAXHEAD";
/// Mark, length of what follows the checksum, checksum.
const HEAD: usize = 8 + 4 + 4;

/// Why parts cannot be written: a defect of their owner, not of the disk.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unfit {
    /// Too many parts, or one named twice.
    #[error("{0} parts, at most {PARTS_MOST}, each name once")]
    Parts(usize),
    /// A part that is too large, or its name is.
    #[error("{name}: {bytes} bytes, at most {PART_MOST} under a name of {NAME_MOST}")]
    Part {
        /// Its name.
        name: String,
        /// Its length.
        bytes: usize,
    },
    /// All together.
    #[error("{0} bytes in all, at most {FILE_MOST}")]
    Whole(usize),
}

/// The body: each part with a checksum of its own, so that damage can be named.
#[derive(Serialize, Deserialize)]
struct Body {
    snapshot: Snapshot,
    checks: Vec<u32>,
}

fn check(part: &Part) -> u32 {
    crc32fast::hash(&part.bytes)
}

/// Whether a part may be kept.
pub fn fits(part: &Part) -> Result<(), Unfit> {
    let bytes = part.bytes.len();
    let good = !part.name.is_empty() && part.name.len() <= NAME_MOST && bytes <= PART_MOST;
    good.then_some(()).ok_or_else(|| Unfit::Part { name: part.name.clone(), bytes })
}

/// The bytes of a snapshot.
pub fn write(snapshot: Snapshot) -> Result<Vec<u8>, Unfit> {
    let parts = &snapshot.parts;
    let twice = (1..parts.len()).any(|n| parts[..n].iter().any(|part| part.name == parts[n].name));
    if parts.len() > PARTS_MOST || twice {
        return Err(Unfit::Parts(parts.len()));
    }
    parts.iter().try_for_each(fits)?;
    let checks = parts.iter().map(check).collect();
    let head = vec![0; HEAD];
    let body = Body { snapshot, checks };
    // Into memory; nothing in a snapshot can fail to be written there.
    let mut bytes = postcard::to_extend(&(FORM, body), head).map_err(|_| Unfit::Whole(0))?;
    let follows = bytes.len() - HEAD;
    if bytes.len() > FILE_MOST {
        return Err(Unfit::Whole(bytes.len()));
    }
    let (head, rest) = bytes.split_at_mut(HEAD);
    head[..8].copy_from_slice(MARK);
    head[8..12].copy_from_slice(&(follows as u32).to_le_bytes());
    head[12..].copy_from_slice(&crc32fast::hash(rest).to_le_bytes());
    Ok(bytes)
}

/// The snapshot that these bytes are, whole and as it was written.
pub fn read(bytes: &[u8]) -> Result<Snapshot, Refusal> {
    let have = bytes.len() as u64;
    if bytes.len() > FILE_MOST {
        return Err(Refusal::TooLong { bytes: have, most: FILE_MOST as u64 });
    }
    let known = bytes.len().min(MARK.len());
    if bytes[..known] != MARK[..known] {
        return Err(Refusal::Foreign);
    }
    let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() else {
        return Err(Refusal::Torn { have, want: HEAD as u64 });
    };
    let [_, _, _, _, _, _, _, _, l0, l1, l2, l3, c0, c1, c2, c3] = *head;
    let want = HEAD as u64 + u64::from(u32::from_le_bytes([l0, l1, l2, l3]));
    if want != have {
        return Err(Refusal::Torn { have, want });
    }
    if crc32fast::hash(rest) != u32::from_le_bytes([c0, c1, c2, c3]) {
        return Err(Refusal::Flipped(culprit(rest)));
    }
    let (found, body) = postcard::take_from_bytes::<u16>(rest).map_err(|_| Refusal::Foreign)?;
    if found != FORM {
        return Err(Refusal::Form { found, own: FORM });
    }
    let (body, over) = postcard::take_from_bytes::<Body>(body).map_err(|_| Refusal::Foreign)?;
    let Body { snapshot, checks } = body;
    if !over.is_empty() || !snapshot.parts.iter().map(check).eq(checks) {
        return Err(Refusal::Foreign);
    }
    Ok(snapshot)
}

/// Where the damage is, as far as it can be told.
fn culprit(rest: &[u8]) -> String {
    let read = postcard::from_bytes::<(u16, Body)>(rest);
    let damaged = read.ok().and_then(|(_, body)| {
        let mut parts = body.snapshot.parts.into_iter().zip(body.checks);
        parts.find(|(part, sum)| check(part) != *sum).map(|(part, _)| part.name)
    });
    damaged.map_or("where cannot be told".to_owned(), |name| format!("in {name:?}"))
}
