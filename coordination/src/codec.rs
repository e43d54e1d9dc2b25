//! Encoding and decoding of lease messages, with the size limits of the application.

use flaxhead_lease::{Application, Message};

/// Reason for dropping a message instead of sending or receiving it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Encoded size above the limit that the application sets for this kind of message.
    #[error(
        "the message exceeds its application's size limit; shorten overlong names and texts in the settings"
    )]
    TooLong,
    /// Bytes that are not exactly one encoded message.
    #[error("the message cannot be decoded; check that all proxies run compatible versions")]
    Malformed,
}

/// Encodes a message. Fails if it exceeds [`Message::max_len`].
pub(crate) fn encode<A: Application>(message: &Message<A>) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_allocvec(message).map_err(|_| CodecError::Malformed)?;
    if bytes.len() > message.max_len() {
        return Err(CodecError::TooLong);
    }
    Ok(bytes)
}

/// Decodes a message. Fails if it exceeds [`Message::max_len`] or bytes are left over.
pub(crate) fn decode<A: Application>(bytes: &[u8]) -> Result<Message<A>, CodecError> {
    if bytes.len() > Message::<A>::MAX_BYTES {
        return Err(CodecError::TooLong);
    }
    match postcard::take_from_bytes::<Message<A>>(bytes) {
        Ok((message, [])) if bytes.len() <= message.max_len() => Ok(message),
        Ok((_, [])) => Err(CodecError::TooLong),
        Ok(_) | Err(_) => Err(CodecError::Malformed),
    }
}

#[cfg(test)]
mod tests;
