//! The form of packets on the wire: a mark, the form's version, the cluster's name, the packet, a checksum of all that.

use flaxhead_membership::{Name, Packet};
use serde::{Deserialize, Serialize};

/// The first bytes of everything.
const MAGIC: [u8; 2] = *b"fx";
/// The same of what a service says.
const SERVICE_MAGIC: [u8; 2] = *b"fr";
/// This form.
pub const VERSION: u8 = 1;
/// The form of what services say: since the second they are told apart by channels.
pub const SERVICE_VERSION: u8 = 2;
/// Longest datagram: it passes any network without being cut in two.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Longest frame of a connection: all members that are kept, with their longest names.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
const CHECKSUM_BYTES: usize = 4;

/// Which of several services it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Channel(pub u8);

impl Channel {
    /// Turns of hosts that are taken out for work.
    pub const MAINTENANCE: Channel = Channel(1);
    /// Shares of what the hosts can carry.
    pub const QUOTA: Channel = Channel(2);
}

/// Why bytes are no packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum DecodeError {
    /// It ends too early.
    #[error("it is cut off")]
    #[serde(rename = "cut")]
    Truncated,
    /// It is longer than anything that is sent.
    #[error("it is too long")]
    #[serde(rename = "huge")]
    TooLong,
    /// It is something else altogether.
    #[error("it is nothing of ours")]
    Foreign,
    /// It is of a version that is not spoken here.
    #[error("it is of another version")]
    Version,
    /// It is of another cluster.
    #[error("it is of another cluster")]
    Cluster,
    /// It was changed on the way.
    #[error("its checksum is wrong")]
    Checksum,
    /// It is whole and makes no sense.
    #[error("it makes no sense")]
    Malformed,
}

/// A packet as bytes.
pub fn encode(cluster: &str, packet: &Packet) -> Result<Vec<u8>, DecodeError> {
    put((MAGIC, VERSION), cluster, packet)
}

/// What the service on a channel says in the name of a member, as bytes.
pub fn encode_service_frame(
    cluster: &str,
    from: &Name,
    channel: Channel,
    body: &[u8],
) -> Result<Vec<u8>, DecodeError> {
    put((SERVICE_MAGIC, SERVICE_VERSION), cluster, &(from, channel, body))
}

/// Whether these bytes are a service's.
pub fn is_service_frame(bytes: &[u8]) -> bool {
    bytes.starts_with(&SERVICE_MAGIC)
}

fn put((mark, version): ([u8; 2], u8), cluster: &str, what: &impl Serialize) -> Result<Vec<u8>, DecodeError> {
    let mut bytes = Vec::with_capacity(256);
    bytes.extend_from_slice(&mark);
    bytes.push(version);
    bytes.push(u8::try_from(cluster.len()).map_err(|_| DecodeError::TooLong)?);
    bytes.extend_from_slice(cluster.as_bytes());
    let mut bytes = postcard::to_extend(what, bytes).map_err(|_| DecodeError::Malformed)?;
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    Ok(bytes)
}

/// Bytes as a packet.
pub fn decode(cluster: &str, bytes: &[u8]) -> Result<Packet, DecodeError> {
    take((MAGIC, VERSION), cluster, bytes)
}

/// Bytes as what a service says: in whose name, on which channel, what.
pub fn decode_service_frame<'a>(
    cluster: &str,
    bytes: &'a [u8],
) -> Result<(Name, Channel, &'a [u8]), DecodeError> {
    take((SERVICE_MAGIC, SERVICE_VERSION), cluster, bytes)
}

fn take<'a, T: Deserialize<'a>>(
    (wanted, spoken): ([u8; 2], u8),
    cluster: &str,
    bytes: &'a [u8],
) -> Result<T, DecodeError> {
    let (mark, rest) = bytes.split_at_checked(wanted.len()).ok_or(DecodeError::Truncated)?;
    if mark != wanted {
        return Err(DecodeError::Foreign);
    }
    let (&version, rest) = rest.split_first().ok_or(DecodeError::Truncated)?;
    if version != spoken {
        return Err(DecodeError::Version);
    }
    let (&length, rest) = rest.split_first().ok_or(DecodeError::Truncated)?;
    let (name, rest) = rest.split_at_checked(usize::from(length)).ok_or(DecodeError::Truncated)?;
    if name != cluster.as_bytes() {
        return Err(DecodeError::Cluster);
    }
    let body = rest.len().checked_sub(CHECKSUM_BYTES).ok_or(DecodeError::Truncated)?;
    let (body, checksum) = rest.split_at(body);
    let sum = crc32fast::hash(&bytes[..bytes.len() - CHECKSUM_BYTES]);
    if checksum != sum.to_be_bytes() {
        return Err(DecodeError::Checksum);
    }
    match postcard::take_from_bytes(body) {
        Ok((packet, [])) => Ok(packet),
        Ok(_) | Err(_) => Err(DecodeError::Malformed),
    }
}
