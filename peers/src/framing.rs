//! Frames on a connection: a length of four bytes, then so many bytes.

use crate::codec::{DecodeError, MAX_FRAME_BYTES};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

pub(crate) async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).ok().filter(|_| bytes.len() <= MAX_FRAME_BYTES);
    let length = length.ok_or_else(|| io::Error::other(DecodeError::TooLong))?;
    stream.write_u32(length).await?;
    stream.write_all(bytes).await
}

/// Reads a frame; `None`: it is too long. It is read as it comes, so that a length alone takes no memory.
pub(crate) async fn read_frame(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let length = stream.read_u32().await?;
    if length as usize > MAX_FRAME_BYTES {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    stream.take(u64::from(length)).read_to_end(&mut bytes).await?;
    Ok(Some(bytes))
}

/// A socket for the family of an address.
pub(crate) fn tcp_socket(address: &SocketAddr) -> io::Result<TcpSocket> {
    if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}
