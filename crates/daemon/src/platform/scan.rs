//! Ends of JSON objects and arrays, each found once.
//!
//! Damaged bytes are read from many places. A scan from one of them tells the outcome of
//! each object and array that it met: those that it closed have an end, and those that
//! were open where it failed have none. These are remembered, so the bytes looked at stay
//! in proportion to those of the page, however many places are asked for: two scans over
//! the same bytes differ in what they take for strings, of which there are two ways.

/// Mark of an object or array that has no end, or that is in no other one.
const NONE: u32 = u32::MAX;

/// Finds the ends of objects and arrays in some bytes.
#[derive(Clone, Debug)]
pub struct Scanner<'a> {
    bytes: &'a [u8],
    /// End of the object or array at each place, or [`NONE`]; zero if not yet known. While
    /// a scan is in one, the place of the object or array around it, or [`NONE`].
    ends: Vec<u32>,
    /// Innermost object or array that the present scan is in, or [`NONE`].
    inner: u32,
    looked_at: usize,
}

impl<'a> Scanner<'a> {
    /// A scanner that knows nothing yet.
    #[must_use]
    pub fn new(bytes: &'a [u8]) -> Self {
        Self {
            bytes,
            ends: Vec::new(),
            inner: NONE,
            looked_at: 0,
        }
    }

    /// Number of bytes that all scans looked at.
    #[must_use]
    pub fn looked_at(&self) -> usize {
        self.looked_at
    }

    /// The place after the object or array at a place, if it is what `serde_json` accepts
    /// as an ignored value.
    pub fn end(&mut self, place: usize) -> Option<usize> {
        if !matches!(self.bytes.get(place), Some(b'{' | b'[')) {
            return None;
        }
        if self.ends.is_empty() {
            self.ends = vec![0; self.bytes.len()];
        }
        if self.ends[place] == 0 {
            self.scan(place);
        }
        self.known(place)
    }

    fn innermost(&self) -> Option<usize> {
        match self.inner {
            NONE => None,
            place => Some(place as usize),
        }
    }

    fn known(&self, place: usize) -> Option<usize> {
        match self.ends[place] {
            0 | NONE => None,
            end => Some(end as usize),
        }
    }

    fn scan(&mut self, start: usize) {
        let mut value = Some(start);
        while let Some(place) = value {
            value = self.pass(place);
        }
        while let Some(place) = self.innermost() {
            self.inner = std::mem::replace(&mut self.ends[place], NONE);
        }
    }

    /// Passes the value at a place, or enters it; returns the place of the next value.
    fn pass(&mut self, place: usize) -> Option<usize> {
        self.looked_at += 1;
        let end = match self.bytes.get(place)? {
            b'{' | b'[' if self.ends[place] == 0 => {
                let inner = u32::try_from(place).ok()?;
                self.ends[place] = std::mem::replace(&mut self.inner, inner);
                let first = self.space(place + 1);
                if !self.closes(first) {
                    return self.element(first);
                }
                self.close(first)
            }
            b'{' | b'[' => self.known(place)?,
            b'"' => self.string(place)?,
            b'n' => self.word(place, b"null")?,
            b't' => self.word(place, b"true")?,
            b'f' => self.word(place, b"false")?,
            _ => self.number(place)?,
        };
        self.leave(end)
    }

    /// Closes what ends after a value; returns the place of the value after a comma.
    fn leave(&mut self, end: usize) -> Option<usize> {
        let mut place = end;
        while self.inner != NONE {
            place = self.space(place);
            if self.closes(place) {
                place = self.close(place);
            } else if self.bytes.get(place) == Some(&b',') {
                let next = self.space(place + 1);
                return self.element(next);
            } else {
                return None;
            }
        }
        None
    }

    /// Place of the value of an element, which has a name in an object.
    fn element(&mut self, place: usize) -> Option<usize> {
        if self.bytes[self.innermost()?] == b'[' {
            return Some(place);
        }
        let end = self.string(place)?;
        let colon = self.space(end);
        (self.bytes.get(colon) == Some(&b':')).then(|| self.space(colon + 1))
    }

    /// Whether the byte at a place closes the innermost object or array.
    fn closes(&self, place: usize) -> bool {
        let opened = self.innermost().map(|it| self.bytes[it]);
        match self.bytes.get(place) {
            Some(b']') => opened == Some(b'['),
            Some(b'}') => opened == Some(b'{'),
            _ => false,
        }
    }

    fn close(&mut self, place: usize) -> usize {
        let end = place + 1;
        if let Some(start) = self.innermost() {
            let known = u32::try_from(end).unwrap_or(NONE);
            self.inner = std::mem::replace(&mut self.ends[start], known);
        }
        end
    }

    fn string(&mut self, start: usize) -> Option<usize> {
        let bytes = self.bytes;
        if bytes.get(start) != Some(&b'"') {
            return None;
        }
        let mut place = start + 1;
        while place < bytes.len() {
            match bytes[place] {
                b'"' => {
                    self.looked_at += place - start;
                    return Some(place + 1);
                }
                b'\\' => match self.escape(place + 1) {
                    Some(end) => place = end,
                    None => break,
                },
                ..b' ' => break,
                _ => place += 1,
            }
        }
        self.looked_at += place - start;
        None
    }

    fn escape(&self, place: usize) -> Option<usize> {
        match self.bytes.get(place)? {
            b'"' | b'\\' | b'/' | b'b' | b'f' | b'n' | b'r' | b't' => Some(place + 1),
            b'u' => {
                let digits = self.bytes.get(place + 1..place + 5)?;
                let valid = digits.iter().all(u8::is_ascii_hexdigit);
                valid.then_some(place + 5)
            }
            _ => None,
        }
    }

    fn word(&mut self, place: usize, word: &[u8]) -> Option<usize> {
        self.looked_at += word.len();
        self.bytes[place..]
            .starts_with(word)
            .then_some(place + word.len())
    }

    fn number(&mut self, place: usize) -> Option<usize> {
        let minus = self.bytes.get(place) == Some(&b'-');
        let whole = place + usize::from(minus);
        let mut end = match self.bytes.get(whole)? {
            b'0' if self.digits(whole) > whole + 1 => return None,
            _ => self.some_digits(whole)?,
        };
        if self.bytes.get(end) == Some(&b'.') {
            end = self.some_digits(end + 1)?;
        }
        if matches!(self.bytes.get(end), Some(b'e' | b'E')) {
            let sign = matches!(self.bytes.get(end + 1), Some(b'+' | b'-'));
            end = self.some_digits(end + 1 + usize::from(sign))?;
        }
        Some(end)
    }

    fn some_digits(&mut self, place: usize) -> Option<usize> {
        let end = self.digits(place);
        (end > place).then_some(end)
    }

    fn digits(&mut self, place: usize) -> usize {
        let bytes = self.bytes;
        let mut end = place;
        while end < bytes.len() && bytes[end].is_ascii_digit() {
            end += 1;
        }
        self.looked_at += end - place + 1;
        end
    }

    fn space(&mut self, place: usize) -> usize {
        let bytes = self.bytes;
        let mut end = place;
        while end < bytes.len() && matches!(bytes[end], b' ' | b'\n' | b'\t' | b'\r') {
            end += 1;
        }
        self.looked_at += end - place + 1;
        end
    }
}
