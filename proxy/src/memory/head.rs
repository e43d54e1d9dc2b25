//! How much of a head the HTTP library has been handed, which tells what its buffer takes.

use super::{MAX_READ_BYTES, READ_BUFFER_BYTES};

/// Longest end of a head, which may be split over two pieces.
const MAX_END_BYTES: usize = 3;

/// Finds the end of a head in pieces.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    /// The last bytes before the next piece.
    tail: [u8; MAX_END_BYTES - 1],
}

impl HeadScanner {
    /// Takes the next piece. Returns whether a head ends in it, or it has bytes that no head has.
    pub fn take(&mut self, piece: &[u8]) -> bool {
        let has_end = self.has_end(piece);
        self.tail = match piece {
            [] => self.tail,
            [only] => [self.tail[1], *only],
            [.., first, second] => [*first, *second],
        };
        has_end
    }

    fn has_end(&self, piece: &[u8]) -> bool {
        let is_foreign = |&byte: &u8| byte.is_ascii_control() && !matches!(byte, b'\r' | b'\n' | b'\t');
        let start = &piece[..piece.len().min(MAX_END_BYTES)];
        let seam = [&self.tail[..], start].concat();
        piece.iter().any(is_foreign) || has_empty_line(&seam) || has_empty_line(piece)
    }
}

fn has_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|pair| pair == b"\n\n")
        || bytes.windows(MAX_END_BYTES).any(|triple| triple == b"\n\r\n")
}

/// What the library has of a head.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadProgress {
    bytes: usize,
    has_end: bool,
    /// Bytes behind the piece with the end.
    behind: usize,
    scanner: HeadScanner,
}

impl HeadProgress {
    /// The library was handed these bytes.
    pub fn record(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len();
        if self.has_end {
            self.behind += bytes.len();
        }
        self.has_end |= self.scanner.take(bytes);
    }

    /// Whether it has any bytes of the head.
    pub fn has_begun(&self) -> bool {
        self.bytes > 0
    }

    /// The last bytes were those of a head before: the next one begins.
    pub fn restart(&mut self) {
        *self = HeadProgress { scanner: self.scanner, ..HeadProgress::default() };
    }

    /// What finds the head's end in the bytes that follow.
    pub fn scanner(&self) -> HeadScanner {
        self.scanner
    }

    /// What the library's buffer takes beyond an idle connection's cost once it reads on.
    pub fn excess_buffer_bytes(&self) -> usize {
        // The library reads once more before it has dealt with a head; a second time it has found none.
        let is_complete = self.has_end && self.behind <= MAX_READ_BYTES;
        if self.bytes == 0 || is_complete {
            return 0;
        }
        (self.bytes + READ_BUFFER_BYTES).next_power_of_two() - READ_BUFFER_BYTES
    }
}

#[cfg(test)]
mod tests;
