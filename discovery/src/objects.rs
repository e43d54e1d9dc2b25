//! Splits a watch into its JSON objects, each on a line or, indented, over several; empty lines stand between them.
//!
//! `serde_json` reads a stream of values only from a reader that waits, so the end of each object is found here by
//! depth, and the object is read once it is whole.

use crate::error::ListError;
use flaxhead_engine::List;

/// Longest list: a longer one is not the list of any fleet that one proxy serves.
const MOST: usize = 4 << 20;

/// The object under way.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    text: Vec<u8>,
    depth: usize,
    /// Within a string, and whether the next character is escaped there.
    string: Option<bool>,
    /// Nothing but white space since the line began.
    blank: bool,
}

impl Objects {
    /// Takes what came next and passes on the lists that are whole by now.
    pub fn take(&mut self, data: &[u8], mut news: impl FnMut(List)) -> Result<(), ListError> {
        for &byte in data {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                continue;
            }
            if self.text.len() >= MOST {
                return Err(ListError::TooLong(MOST));
            }
            self.text.push(byte);
            if self.ends(byte)? {
                let list = serde_json::from_slice(&self.text)?;
                self.text.clear();
                news(list);
            }
        }
        Ok(())
    }

    /// Whether the object ends with this byte.
    fn ends(&mut self, byte: u8) -> Result<bool, ListError> {
        if let Some(escaped) = self.string {
            self.string = match byte {
                b'\n' => return Err(ListError::Torn),
                b'"' if !escaped => None,
                _ => Some(byte == b'\\' && !escaped),
            };
            return Ok(false);
        }
        if self.depth == 0 && byte != b'{' {
            return Err(ListError::NoObject(byte));
        }
        let blank = self.blank;
        self.blank = byte == b'\n' || blank && byte.is_ascii_whitespace();
        match byte {
            // What is indented has no empty lines: one is a sign of life, and the rest of the object got lost.
            b'\n' if blank => return Err(ListError::Torn),
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
