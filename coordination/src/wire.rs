//! Messages as bytes, none longer than its application says.

use flaxhead_lease::{Application, Message};

/// Why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unfit {
    /// Longer than its application allows.
    #[error(
        "it is longer than what is settled allows: see whether names and texts in the settings are that long"
    )]
    Long,
    /// Nothing that this version says.
    #[error("it makes no sense: see whether all proxies run versions that go together")]
    Malformed,
}

/// A message as bytes.
pub(crate) fn encode<M: Application>(message: &Message<M>) -> Result<Vec<u8>, Unfit> {
    let bytes = postcard::to_allocvec(message).map_err(|_| Unfit::Malformed)?;
    if bytes.len() > message.max_len() {
        return Err(Unfit::Long);
    }
    Ok(bytes)
}

/// Bytes as a message.
pub(crate) fn decode<M: Application>(bytes: &[u8]) -> Result<Message<M>, Unfit> {
    if bytes.len() > Message::<M>::MAX_BYTES {
        return Err(Unfit::Long);
    }
    match postcard::take_from_bytes::<Message<M>>(bytes) {
        Ok((message, [])) if bytes.len() <= message.max_len() => Ok(message),
        Ok((_, [])) => Err(Unfit::Long),
        Ok(_) | Err(_) => Err(Unfit::Malformed),
    }
}

#[cfg(test)]
mod tests;
