//! Incremental parser of a list stream: JSON objects on one line each or indented, separated by line breaks
//! and empty lines.
//!
//! `serde_json` parses a stream of values only from a blocking reader. This parser therefore finds the end of
//! each object by counting brackets, and passes complete objects to `serde_json`.

use crate::error::ListError;
use flaxhead_engine::EndpointList;

/// Buffer that is kept between two lists.
const KEPT_BUFFER_BYTES: usize = 16 << 10;

/// Parser state, with the bytes received of the current JSON object.
#[derive(Debug)]
pub(crate) struct JsonStream {
    /// Maximum size of a list.
    max_list_bytes: usize,
    buffer: Vec<u8>,
    /// Number of objects and arrays that are open at the current position.
    depth: usize,
    /// `Some` within a string: true if the next byte is escaped. `None` outside of strings.
    string_escape: Option<bool>,
    /// True if the current line of the object contains only white space so far.
    line_is_blank: bool,
}

impl JsonStream {
    /// Creates a parser of lists of at most this size.
    pub(crate) fn new(max_list_bytes: usize) -> JsonStream {
        JsonStream { max_list_bytes, buffer: Vec::new(), depth: 0, string_escape: None, line_is_blank: false }
    }

    /// Parses the next bytes of the list stream, and passes each list that they complete to the handler.
    pub(crate) fn feed(
        &mut self,
        data: &[u8],
        mut handler: impl FnMut(EndpointList),
    ) -> Result<(), ListError> {
        for &byte in data {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                continue;
            }
            if self.buffer.len() >= self.max_list_bytes {
                return Err(ListError::TooLong(self.max_list_bytes));
            }
            self.buffer.push(byte);
            if self.advance(byte)? {
                let list = serde_json::from_slice(&self.buffer)?;
                self.buffer.clear();
                self.buffer.shrink_to(KEPT_BUFFER_BYTES);
                handler(list);
            }
        }
        Ok(())
    }

    /// Updates the state with the next byte. Returns whether it completes the object.
    fn advance(&mut self, byte: u8) -> Result<bool, ListError> {
        if let Some(escaped) = self.string_escape {
            self.string_escape = match byte {
                b'\n' => return Err(ListError::Truncated),
                b'"' if !escaped => None,
                _ => Some(byte == b'\\' && !escaped),
            };
            return Ok(false);
        }
        if self.depth == 0 && byte != b'{' {
            return Err(ListError::UnexpectedByte(byte));
        }
        let was_blank = self.line_is_blank;
        self.line_is_blank = byte == b'\n' || was_blank && byte.is_ascii_whitespace();
        match byte {
            // Indented JSON has no empty lines, so this one is a keep-alive, and the rest of the object was
            // lost.
            b'\n' if was_blank => return Err(ListError::Truncated),
            b'"' => self.string_escape = Some(false),
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        Ok(self.depth == 0)
    }
}

#[cfg(test)]
mod tests;
