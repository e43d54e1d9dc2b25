//! Splits a watch into its JSON objects, each on a line or, indented, over several; empty lines stand between them.
//!
//! `serde_json` reads a stream of values only from a reader that waits, so the end of each object is found here by
//! depth, and the object is parsed once it is complete.

use crate::error::ListError;
use flaxhead_engine::EndpointList;

/// Most bytes of a list: a longer one is not the list of any fleet that one proxy serves.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The JSON object that is being received.
#[derive(Debug, Default)]
pub(crate) struct JsonStream {
    text: Vec<u8>,
    /// Objects and arrays that are open.
    depth: usize,
    /// `Some` within a string: whether the next character is escaped.
    string: Option<bool>,
    /// Whether there was only white space since the line began.
    blank: bool,
}

impl JsonStream {
    /// Takes the bytes that came next and passes each list that they complete to the handler.
    pub(crate) fn feed(
        &mut self,
        data: &[u8],
        mut handler: impl FnMut(EndpointList),
    ) -> Result<(), ListError> {
        for &byte in data {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                continue;
            }
            if self.text.len() >= MAX_LIST_BYTES {
                return Err(ListError::TooLong(MAX_LIST_BYTES));
            }
            self.text.push(byte);
            if self.ends_with(byte)? {
                let list = serde_json::from_slice(&self.text)?;
                self.text.clear();
                handler(list);
            }
        }
        Ok(())
    }

    /// Whether the object ends with this byte.
    fn ends_with(&mut self, byte: u8) -> Result<bool, ListError> {
        if let Some(escaped) = self.string {
            self.string = match byte {
                b'\n' => return Err(ListError::Truncated),
                b'"' if !escaped => None,
                _ => Some(byte == b'\\' && !escaped),
            };
            return Ok(false);
        }
        if self.depth == 0 && byte != b'{' {
            return Err(ListError::UnexpectedByte(byte));
        }
        let blank = self.blank;
        self.blank = byte == b'\n' || blank && byte.is_ascii_whitespace();
        match byte {
            // Indented JSON has no empty lines: one is a keep-alive, and the rest of the object got lost.
            b'\n' if blank => return Err(ListError::Truncated),
            b'"' => self.string = Some(false),
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        Ok(self.depth == 0)
    }
}

#[cfg(test)]
mod tests;
