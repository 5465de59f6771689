//! Incremental parser of server-sent events.

use bytes::{Buf, Bytes, BytesMut};

use super::Failure;

/// Longest line of an event, in bytes.
pub(super) const MAX_LINE_BYTES: usize = 64 << 10;

/// Buffer of received bytes, split into lines.
#[derive(Debug, Default)]
pub(super) struct Lines {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that are known to hold no line end.
    searched: usize,
}

impl Lines {
    /// Appends received bytes.
    pub(super) fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Data of the next event whose line is complete.
    ///
    /// Model engines send one `data` line per event; comments, blank lines and
    /// other fields are skipped.
    pub(super) fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        while let Some(line) = self.line()? {
            if let Some(data) = line.strip_prefix(b"data:") {
                let start = line.len() - data.len() + usize::from(data.starts_with(b" "));
                return Ok(Some(line.slice(start..)));
            }
        }
        Ok(None)
    }

    fn line(&mut self) -> Result<Option<Bytes>, Failure> {
        let end = self.buffer[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
            .map(|position| self.searched + position);
        let length = end.unwrap_or(self.buffer.len());
        if length > MAX_LINE_BYTES {
            let limit = MAX_LINE_BYTES as u64;
            return Err(Failure::TooLarge { limit });
        }
        let Some(end) = end else {
            self.searched = length;
            return Ok(None);
        };
        self.searched = 0;
        let mut line = self.buffer.split_to(end).freeze();
        self.buffer.advance(1);
        if line.ends_with(b"\r") {
            line.truncate(line.len() - 1);
        }
        Ok(Some(line))
    }
}
