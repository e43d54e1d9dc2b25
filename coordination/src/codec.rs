//! Messages as bytes, none longer than its application allows.

use flaxhead_lease::{Application, Message};

/// Why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// It is longer than its application allows.
    #[error(
        "it is longer than its application allows: see whether names and texts in the settings are that long"
    )]
    TooLong,
    /// It cannot be decoded.
    #[error("it cannot be decoded: see whether all proxies run versions that go together")]
    Malformed,
}

/// Encodes a message.
pub(crate) fn encode<A: Application>(message: &Message<A>) -> Result<Vec<u8>, CodecError> {
    let bytes = postcard::to_allocvec(message).map_err(|_| CodecError::Malformed)?;
    if bytes.len() > message.max_len() {
        return Err(CodecError::TooLong);
    }
    Ok(bytes)
}

/// Decodes a message.
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
