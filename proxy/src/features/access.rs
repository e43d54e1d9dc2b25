//! Address lists: whom a connection is from, by its peer or by the PROXY header of a trusted front, and whether it
//! may come. What is allowed the module's crate says ([`flaxhead_policy::Access`]).

use super::sections::{Problem, Section};
use crate::http::front::PrefixedStream;
use flaxhead_policy::{Access, PeerAccess};
use ppp::{v1, v2};
use std::net::IpAddr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// What the headers begin with.
const V1_PREFIX: &[u8] = b"PROXY ";
const V2_PREFIX: &[u8] = b"\r\n\r\n\0\r\nQUIT\n";
/// Longest header of version 1, its end of line included.
const MAX_V1_BYTES: usize = 107;
/// Bytes of version 2 before its addresses, and most bytes that are read of a header.
const V2_PREFIX_BYTES: usize = 16;
const MAX_V2_BYTES: usize = 4 << 10;

/// Takes the lists from the section.
pub fn read(section: &mut Section) -> Result<Access, Problem> {
    Ok(Access {
        allow: section.take("allow")?.unwrap_or_default(),
        deny: section.take("deny")?.unwrap_or_default(),
        proxy_from: section.take("proxy_from")?.unwrap_or_default(),
    })
}

/// A connection that may come: its client's true address, and its stream from the first byte of its first
/// request on.
pub struct Admitted {
    /// Where the client is.
    pub client: IpAddr,
    /// What it sends.
    pub stream: PrefixedStream,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Closed {
    /// Whom a front speaks for cannot be told.
    #[error("a front must begin with a PROXY header")]
    NoHeader,
    /// Anybody could name any address in a header; `proxy_from` says who may.
    #[error("it began with a PROXY header and is no trusted front")]
    NoFront,
    /// The lists leave its client out.
    #[error("not allowed")]
    NotAllowed,
    /// No front writes such a header.
    #[error("its PROXY header is malformed")]
    Malformed,
    /// It has asked for nothing.
    #[error("it ended before a request")]
    Ended,
}

/// Reads how a connection of `peer` begins, and says who it is from.
///
/// # Errors
///
/// Where it is to be closed: whose it is, as far as that is known, and why.
pub async fn admit(
    access: &Access,
    mut stream: TcpStream,
    peer: IpAddr,
) -> Result<Admitted, (IpAddr, Closed)> {
    let front = access.check_peer(peer) == PeerAccess::TrustedProxy;
    let mut bytes = Vec::new();
    let (client, header) = loop {
        match begin(&bytes) {
            Begin::Unsure => {}
            Begin::Request if front => return Err((peer, Closed::NoHeader)),
            Begin::Request => break (peer, 0),
            Begin::Part | Begin::Header { .. } | Begin::Bad if !front => {
                return Err((peer, Closed::NoFront));
            }
            Begin::Part => {}
            Begin::Header { client, length } => {
                let client = client.map_or(peer, |client| client.to_canonical());
                if !access.admits(client) {
                    return Err((client, Closed::NotAllowed));
                }
                break (client, length);
            }
            Begin::Bad => return Err((peer, Closed::Malformed)),
        }
        match stream.read_buf(&mut bytes).await {
            Ok(0) | Err(_) if front || bytes.is_empty() => return Err((peer, Closed::Ended)),
            // Whatever that is, the server answers it.
            Ok(0) | Err(_) => break (peer, 0),
            Ok(_) => {}
        }
    };
    bytes.drain(..header);
    Ok(Admitted { client, stream: PrefixedStream::new(bytes, stream) })
}

/// What a connection's first bytes are.
#[derive(Debug, PartialEq)]
enum Begin {
    /// More must come before that can be told.
    Unsure,
    /// A part of a PROXY header.
    Part,
    /// No PROXY header.
    Request,
    /// A whole header, and whom it names; `None`: nobody, so that the peer stands for itself.
    Header { client: Option<IpAddr>, length: usize },
    /// A PROXY header that no header goes on like.
    Bad,
}

fn begin(bytes: &[u8]) -> Begin {
    if bytes.starts_with(V1_PREFIX) {
        return begin_v1(bytes);
    }
    if bytes.starts_with(V2_PREFIX) {
        return begin_v2(bytes);
    }
    if V1_PREFIX.starts_with(bytes) || V2_PREFIX.starts_with(bytes) {
        return Begin::Unsure;
    }
    Begin::Request
}

fn begin_v1(bytes: &[u8]) -> Begin {
    let line = &bytes[..bytes.len().min(MAX_V1_BYTES)];
    let Some(end) = line.windows(2).position(|pair| pair == b"\r\n") else {
        return if line.len() < MAX_V1_BYTES { Begin::Part } else { Begin::Bad };
    };
    let (line, length) = (&line[..end + 2], end + 2);
    // Whatever follows that word up to the line's end says nothing.
    if line.strip_prefix(b"PROXY UNKNOWN").is_some_and(|rest| rest.starts_with(b" ") || rest == b"\r\n") {
        return Begin::Header { client: None, length };
    }
    match v1::Header::try_from(line).map(|header| header.addresses) {
        Ok(v1::Addresses::Tcp4(ip)) => Begin::Header { client: Some(ip.source_address.into()), length },
        Ok(v1::Addresses::Tcp6(ip)) => Begin::Header { client: Some(ip.source_address.into()), length },
        Ok(v1::Addresses::Unknown) => Begin::Header { client: None, length },
        Err(_) => Begin::Bad,
    }
}

fn begin_v2(bytes: &[u8]) -> Begin {
    let Some((&[.., command, _, high, low], _)) = bytes.split_first_chunk::<V2_PREFIX_BYTES>() else {
        return Begin::Part;
    };
    let length = V2_PREFIX_BYTES + usize::from(u16::from_be_bytes([high, low]));
    if length > MAX_V2_BYTES {
        return Begin::Bad;
    }
    let Some(header) = bytes.get(..length) else { return Begin::Part };
    // A front's own connection: what else the header holds does not count.
    if command == v2::Version::Two as u8 | v2::Command::Local as u8 {
        return Begin::Header { client: None, length };
    }
    match v2::Header::try_from(header).map(|header| header.addresses) {
        Ok(v2::Addresses::IPv4(ip)) => Begin::Header { client: Some(ip.source_address.into()), length },
        Ok(v2::Addresses::IPv6(ip)) => Begin::Header { client: Some(ip.source_address.into()), length },
        Ok(v2::Addresses::Unspecified | v2::Addresses::Unix(_)) => Begin::Header { client: None, length },
        Err(_) => Begin::Bad,
    }
}

#[cfg(test)]
mod tests;
