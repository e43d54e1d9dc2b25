//! The file format of a snapshot: eight bytes of magic, the length of what follows the preamble, a checksum of that, the
//! format version, and the body in postcard's encoding. The preamble is the same in every version, so that damage can be
//! told from another version.

use crate::rejection::Rejection;
use crate::snapshot::{Part, Snapshot, MAX_NAME_BYTES, MAX_PARTS, MAX_PART_BYTES};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// The format version that this program writes and reads.
pub const FORMAT_VERSION: u16 = 1;
/// Maximum size of a file in bytes, beyond which none is read.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// The first bytes of every file.
const MAGIC: &[u8; 8] = b"FLAXHEAD";
/// Length of the preamble: magic, length of what follows it, checksum of that.
const PREAMBLE_BYTES: usize = 8 + 4 + 4;

/// Why parts cannot be written: a defect of their owner, not of the disk.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EncodeError {
    /// Too many parts, or one named twice.
    #[error("{0} parts, at most {MAX_PARTS}, each name once")]
    Parts(usize),
    /// A part that is too large, or its name is.
    #[error("{name}: {bytes} bytes, at most {MAX_PART_BYTES} under a name of {MAX_NAME_BYTES}")]
    Part {
        /// Its name.
        name: String,
        /// Its size.
        bytes: usize,
    },
    /// All parts together are too large.
    #[error("{0} bytes in all, at most {MAX_FILE_BYTES}")]
    Total(usize),
}

/// What follows the format version: each part has a checksum of its own, so that damage can be located.
#[derive(Serialize, Deserialize)]
struct Body {
    snapshot: Snapshot,
    checksums: Vec<u32>,
}

fn checksum(part: &Part) -> u32 {
    crc32fast::hash(&part.bytes)
}

/// Checks the limits on one part.
///
/// # Errors
///
/// Where the part or its name is too large.
pub fn check_part(part: &Part) -> Result<(), EncodeError> {
    let bytes = part.bytes.len();
    let is_good = !part.name.is_empty() && part.name.len() <= MAX_NAME_BYTES && bytes <= MAX_PART_BYTES;
    is_good.then_some(()).ok_or_else(|| EncodeError::Part { name: part.name.clone(), bytes })
}

/// Encodes a snapshot.
///
/// # Errors
///
/// Where it has too many parts, one twice, or is too large.
pub fn encode(snapshot: Snapshot) -> Result<Vec<u8>, EncodeError> {
    let parts = &snapshot.parts;
    let names: BTreeSet<&str> = parts.iter().map(|part| part.name.as_str()).collect();
    if parts.len() > MAX_PARTS || names.len() < parts.len() {
        return Err(EncodeError::Parts(parts.len()));
    }
    parts.iter().try_for_each(check_part)?;
    let checksums = parts.iter().map(checksum).collect();
    let preamble = vec![0; PREAMBLE_BYTES];
    let body = Body { snapshot, checksums };
    // Into memory; nothing in a snapshot can fail to be encoded there.
    let encoded = postcard::to_extend(&(FORMAT_VERSION, body), preamble);
    let mut bytes = encoded.map_err(|_| EncodeError::Total(0))?;
    if bytes.len() > MAX_FILE_BYTES {
        return Err(EncodeError::Total(bytes.len()));
    }
    let (preamble, rest) = bytes.split_at_mut(PREAMBLE_BYTES);
    let length = u32::try_from(rest.len()).unwrap_or(u32::MAX);
    preamble[..8].copy_from_slice(MAGIC);
    preamble[8..12].copy_from_slice(&length.to_le_bytes());
    preamble[12..].copy_from_slice(&crc32fast::hash(rest).to_le_bytes());
    Ok(bytes)
}

/// Decodes a snapshot, whole and as it was encoded.
///
/// # Errors
///
/// What is wrong with the bytes.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, Rejection> {
    let rest = check_preamble(bytes)?;
    let (found, body) = postcard::take_from_bytes::<u16>(rest).map_err(|_| Rejection::NotASnapshot)?;
    if found != FORMAT_VERSION {
        return Err(Rejection::FormatVersion { found, own: FORMAT_VERSION });
    }
    let (body, excess) = postcard::take_from_bytes::<Body>(body).map_err(|_| Rejection::NotASnapshot)?;
    let Body { snapshot, checksums } = body;
    if !excess.is_empty() || !snapshot.parts.iter().map(checksum).eq(checksums) {
        return Err(Rejection::NotASnapshot);
    }
    Ok(snapshot)
}

/// What follows the preamble, once that is found right.
fn check_preamble(bytes: &[u8]) -> Result<&[u8], Rejection> {
    let actual = bytes.len() as u64;
    if bytes.len() > MAX_FILE_BYTES {
        return Err(Rejection::TooLong { bytes: actual, max: MAX_FILE_BYTES as u64 });
    }
    let known = bytes.len().min(MAGIC.len());
    if bytes[..known] != MAGIC[..known] {
        return Err(Rejection::NotASnapshot);
    }
    let Some((preamble, rest)) = bytes.split_first_chunk::<PREAMBLE_BYTES>() else {
        return Err(Rejection::Truncated { actual, expected: PREAMBLE_BYTES as u64 });
    };
    let [_, _, _, _, _, _, _, _, l0, l1, l2, l3, c0, c1, c2, c3] = *preamble;
    let expected = PREAMBLE_BYTES as u64 + u64::from(u32::from_le_bytes([l0, l1, l2, l3]));
    if expected != actual {
        return Err(Rejection::Truncated { actual, expected });
    }
    if crc32fast::hash(rest) != u32::from_le_bytes([c0, c1, c2, c3]) {
        return Err(Rejection::Corrupt(locate_damage(rest)));
    }
    Ok(rest)
}

/// Where the damage is, as far as it can be told.
fn locate_damage(rest: &[u8]) -> String {
    let decoded = postcard::from_bytes::<(u16, Body)>(rest);
    let damaged = decoded.ok().and_then(|(_, body)| {
        let mut parts = body.snapshot.parts.into_iter().zip(body.checksums);
        parts.find(|(part, sum)| checksum(part) != *sum).map(|(part, _)| part.name)
    });
    damaged.map_or("where cannot be told".to_owned(), |name| format!("in {name:?}"))
}
