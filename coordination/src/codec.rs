//! Encoding and decoding of messages, with the size limits of the application.

use flaxhead_lease::{Application, Message};

/// Reason for dropping a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// Encoded size above the limit of the application.
    #[error(
        "the message exceeds its application's size limit; shorten overlong names and texts in the settings"
    )]
    TooLong,
    /// Undecodable bytes.
    #[error("the message cannot be decoded; check that all proxies run compatible versions")]
    Malformed,
}

/// Encodes a message and checks its size.
pub(crate) fn encode<A: Application>(message: &Message<A>) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_allocvec(message).map_err(|_| CodecError::Malformed)?;
    if bytes.len() > message.max_len() {
        return Err(CodecError::TooLong);
    }
    Ok(bytes)
}

/// Checks the size of a message and decodes it.
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
