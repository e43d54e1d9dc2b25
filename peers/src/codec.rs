//! The format of packets on the wire: magic, the format version, the cluster's name, the packet, and a checksum of all that.

use flaxhead_membership::{Name, Packet};
use serde::{Deserialize, Serialize};

/// The format version of membership packets.
pub const VERSION: u8 = 1;
/// The format version of service frames: since the second they are told apart by channels.
pub const SERVICE_VERSION: u8 = 2;
/// Maximum size of a datagram: it passes any network without being fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of a frame on a connection: all members that are stored, with their longest names.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Size of the checksum.
const CHECKSUM_BYTES: usize = 4;

/// What bytes begin with.
#[derive(Clone, Copy)]
struct Preamble {
    magic: [u8; 2],
    version: u8,
}

const MEMBERSHIP: Preamble = Preamble { magic: *b"fx", version: VERSION };
const SERVICE: Preamble = Preamble { magic: *b"fr", version: SERVICE_VERSION };

/// Identifies a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Channel(pub u8);

impl Channel {
    /// Maintenance of hosts.
    pub const MAINTENANCE: Channel = Channel(1);
    /// Quotas of connection capacity.
    pub const QUOTA: Channel = Channel(2);
}

/// Why bytes are no packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum DecodeError {
    /// They end too early.
    #[error("it is cut off")]
    #[serde(rename = "cut")]
    Truncated,
    /// They are longer than anything that is sent.
    #[error("it is too long")]
    #[serde(rename = "huge")]
    TooLong,
    /// They are of another protocol.
    #[error("it is nothing of ours")]
    Foreign,
    /// They are of a version that is not understood.
    #[error("it is of another version")]
    Version,
    /// They are of another cluster.
    #[error("it is of another cluster")]
    Cluster,
    /// They were changed on the way.
    #[error("its checksum is wrong")]
    Checksum,
    /// They are intact and cannot be decoded.
    #[error("it makes no sense")]
    Malformed,
}

/// A service's message in the name of a member.
#[derive(Debug, PartialEq, Eq)]
pub struct ServiceFrame<'a> {
    /// The member that sends it.
    pub from: Name,
    /// The service.
    pub channel: Channel,
    /// The message.
    pub body: &'a [u8],
}

/// Encodes a membership packet.
///
/// # Errors
///
/// Where the cluster's name is too long.
pub fn encode(cluster: &str, packet: &Packet) -> Result<Vec<u8>, DecodeError> {
    put(MEMBERSHIP, cluster, packet)
}

/// Encodes a service's message.
///
/// # Errors
///
/// Where the cluster's name is too long.
pub fn encode_service_frame(cluster: &str, frame: &ServiceFrame<'_>) -> Result<Vec<u8>, DecodeError> {
    put(SERVICE, cluster, &(&frame.from, frame.channel, frame.body))
}

/// Whether these bytes are a service's message.
pub fn is_service_frame(bytes: &[u8]) -> bool {
    bytes.starts_with(&SERVICE.magic)
}

fn put(preamble: Preamble, cluster: &str, body: &impl Serialize) -> Result<Vec<u8>, DecodeError> {
    let mut bytes = Vec::with_capacity(256);
    bytes.extend_from_slice(&preamble.magic);
    bytes.push(preamble.version);
    bytes.push(u8::try_from(cluster.len()).map_err(|_| DecodeError::TooLong)?);
    bytes.extend_from_slice(cluster.as_bytes());
    let mut bytes = postcard::to_extend(body, bytes).map_err(|_| DecodeError::Malformed)?;
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_be_bytes());
    Ok(bytes)
}

/// Decodes a membership packet.
///
/// # Errors
///
/// Why the bytes are none.
pub fn decode(cluster: &str, bytes: &[u8]) -> Result<Packet, DecodeError> {
    take(MEMBERSHIP, cluster, bytes)
}

/// Decodes a service's message.
///
/// # Errors
///
/// Why the bytes are none.
pub fn decode_service_frame<'a>(cluster: &str, bytes: &'a [u8]) -> Result<ServiceFrame<'a>, DecodeError> {
    let (from, channel, body) = take(SERVICE, cluster, bytes)?;
    Ok(ServiceFrame { from, channel, body })
}

fn take<'a, T: Deserialize<'a>>(
    preamble: Preamble,
    cluster: &str,
    bytes: &'a [u8],
) -> Result<T, DecodeError> {
    let (magic, rest) = bytes.split_at_checked(preamble.magic.len()).ok_or(DecodeError::Truncated)?;
    if magic != preamble.magic {
        return Err(DecodeError::Foreign);
    }
    let (&version, rest) = rest.split_first().ok_or(DecodeError::Truncated)?;
    if version != preamble.version {
        return Err(DecodeError::Version);
    }
    let (&length, rest) = rest.split_first().ok_or(DecodeError::Truncated)?;
    let (name, rest) = rest.split_at_checked(usize::from(length)).ok_or(DecodeError::Truncated)?;
    if name != cluster.as_bytes() {
        return Err(DecodeError::Cluster);
    }
    let body_length = rest.len().checked_sub(CHECKSUM_BYTES).ok_or(DecodeError::Truncated)?;
    let (body, checksum) = rest.split_at(body_length);
    let expected = crc32fast::hash(&bytes[..bytes.len() - CHECKSUM_BYTES]);
    if checksum != expected.to_be_bytes() {
        return Err(DecodeError::Checksum);
    }
    match postcard::take_from_bytes(body) {
        Ok((decoded, [])) => Ok(decoded),
        Ok(_) | Err(_) => Err(DecodeError::Malformed),
    }
}
