//! Reads a page of a list that others write too.
//!
//! A page is a JSON object with arrays of entries. Whatever bytes one entry holds, it must
//! not take away the others:
//!
//! - Each entry is parsed by itself. One that is JSON but not a valid entry, however deep or
//!   large, is left out as a whole, with all that is nested in it.
//! - Where the bytes are not JSON, nothing tells where the entry ends, since a quote or
//!   bracket may be missing. Reading goes on at the next object or array that is JSON and
//!   stands where an element may.
//! - The array ends at a bracket after which the rest of the page is sound. If there is
//!   none, the last member of the page tells that it is complete.
//! - A page whose end cannot be read may be cut: it is an error, and what it held before
//!   stays in force.

use derive_more::{Display, Error};
use serde::de::{DeserializeOwned, IgnoredAny};
use serde_json::{Deserializer, Value};

use super::scan::Scanner;

/// Longest entry, in bytes.
const MAX_ENTRY_BYTES: usize = 16 << 10;

/// Longest value, in bytes; one that is longer counts as damaged.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Most places that are tried as the next entry after damaged bytes, in one page.
const MAX_TRIES: usize = 1_024;

/// Most bytes after an array that are looked at to tell whether it ends there.
const MAX_REST_BYTES: usize = 64 << 10;

/// Mark of a place after which the rest of the page is not sound.
const UNSOUND: u32 = u32::MAX;

/// Layout of a page.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Members that are arrays of entries.
    pub arrays: &'static [&'static str],
    /// Member that ends a page and shows that it is complete, if there is one.
    pub last: Option<&'static str>,
}

/// A page that was read.
#[derive(Clone, Debug)]
pub struct Page<T> {
    /// Its valid entries.
    pub entries: Vec<T>,
    /// Number of entries that were left out, and damaged places.
    pub odd: usize,
    /// Why the first of them was left out.
    pub reason: Option<String>,
    /// Names of the arrays that were found.
    pub arrays: Vec<&'static str>,
    /// Value of the last member, if it was found.
    pub last: Option<Value>,
}

impl<T> Default for Page<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            odd: 0,
            reason: None,
            arrays: Vec::new(),
            last: None,
        }
    }
}

/// Why a page cannot be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// It is no JSON object.
    #[display("it is no JSON object")]
    NoObject,
    /// It ends early, or its end is damaged.
    #[display("its end cannot be read, so entries may be missing")]
    NoEnd,
    /// Entries cannot be told from damaged bytes any more.
    #[display("over {MAX_TRIES} places are damaged, so entries may be missing")]
    TooDamaged,
}

/// Reads a page; `entry` parses one entry of the named array or tells what is wrong.
///
/// # Errors
/// [`Fault`] if it is not known whether all entries were seen.
pub fn read<T, F>(bytes: &[u8], layout: Layout, entry: F) -> Result<Page<T>, Fault>
where
    F: Fn(&'static str, &[u8]) -> Result<T, String>,
{
    read_counting(bytes, layout, entry).0
}

/// Reads a page as [`read`] does; returns the number of bytes looked at too, where a byte
/// counts again each time that it is looked at.
///
/// # Errors
/// As those of [`read`], in the first value.
pub fn read_counting<T, F>(
    bytes: &[u8],
    layout: Layout,
    entry: F,
) -> (Result<Page<T>, Fault>, usize)
where
    F: Fn(&'static str, &[u8]) -> Result<T, String>,
{
    let mut reader = Reader {
        bytes,
        layout,
        entry,
        scanner: Scanner::new(bytes),
        rests: Vec::new(),
        tries: 0,
        damaged: false,
        looked_at: 0,
        page: Page::default(),
    };
    let fault = reader.page().err();
    let looked_at = reader.looked_at + reader.scanner.looked_at();
    (fault.map_or(Ok(reader.page), Err), looked_at)
}

struct Reader<'a, T, F> {
    bytes: &'a [u8],
    layout: Layout,
    entry: F,
    /// Finds the ends of objects and arrays once the page is damaged.
    scanner: Scanner<'a>,
    /// Of places after a value: zero if not yet known, [`UNSOUND`], or the last place in the
    /// sound rest of the page that follows.
    rests: Vec<u32>,
    /// Places tried after damaged bytes.
    tries: usize,
    /// Whether bytes that are not JSON were found.
    damaged: bool,
    /// Bytes looked at without the scanner.
    looked_at: usize,
    page: Page<T>,
}

/// What stands after a value of the page.
enum Rest {
    /// The end of the page, or an array of entries.
    Sound,
    /// Another member, which ends at this place.
    Member(usize),
    /// Anything else.
    Unsound,
}

impl<T, F> Reader<'_, T, F>
where
    F: Fn(&'static str, &[u8]) -> Result<T, String>,
{
    fn page(&mut self) -> Result<(), Fault> {
        let start = self.skip_space(0);
        if self.bytes.get(start) != Some(&b'{') {
            return Err(Fault::NoObject);
        }
        let ends = self.members(start + 1);
        if self.tries > MAX_TRIES {
            return Err(Fault::TooDamaged);
        }
        // The end of a damaged entry may look like that of a page that was cut.
        if (ends || self.find_last()) && (!self.damaged || self.page.last.is_some()) {
            Ok(())
        } else {
            Err(Fault::NoEnd)
        }
    }

    /// Reads the members of the object; false if its end was not found.
    fn members(&mut self, start: usize) -> bool {
        let mut place = start;
        loop {
            place = self.skip_space(place);
            match self.bytes.get(place) {
                Some(b'}') => return self.skip_space(place + 1) == self.bytes.len(),
                Some(b',') => place += 1,
                _ => {
                    let Some((name, value)) = self.name(place) else {
                        return false;
                    };
                    let Some(end) = self.member(&name, value) else {
                        return false;
                    };
                    place = end;
                }
            }
        }
    }

    /// Reads the value of a member; its end, if it was found.
    fn member(&mut self, name: &str, place: usize) -> Option<usize> {
        let known = self.layout.arrays.iter().copied().find(|it| *it == name);
        if let Some(array) = known
            && self.bytes.get(place) == Some(&b'[')
        {
            self.page.arrays.push(array);
            return self.array(array, place + 1);
        }
        if self.layout.last == Some(name) {
            let (value, end) = self.parse::<Value>(place)?;
            self.page.last = Some(value);
            return Some(end);
        }
        Some(self.parse::<IgnoredAny>(place)?.1)
    }

    /// Reads the entries of an array; the place after its end, if it was found.
    fn array(&mut self, array: &'static str, start: usize) -> Option<usize> {
        let mut place = start;
        loop {
            place = self.skip_space(place);
            match *self.bytes.get(place)? {
                b',' => {
                    place += 1;
                    continue;
                }
                b']' if self.is_sound_after(place + 1) => return Some(place + 1),
                _ => {}
            }
            let Some(end) = self.value_end(place) else {
                self.damaged = true;
                self.leave_out("its bytes are not JSON".to_owned());
                place = self.next_entry(place + 1)?;
                continue;
            };
            match self.parse_entry(array, place, end) {
                Ok(entry) => self.page.entries.push(entry),
                Err(reason) => self.leave_out(reason),
            }
            place = end;
        }
    }

    fn parse_entry(&self, array: &'static str, start: usize, end: usize) -> Result<T, String> {
        let bytes = &self.bytes[start..end];
        if bytes.len() > MAX_ENTRY_BYTES {
            return Err(format!("it is over the limit of {MAX_ENTRY_BYTES} bytes"));
        }
        (self.entry)(array, bytes)
    }

    fn leave_out(&mut self, reason: String) {
        self.page.odd += 1;
        self.page.reason.get_or_insert(reason);
    }

    /// End of the value at a place, if it is JSON and an element of an array.
    fn value_end(&mut self, place: usize) -> Option<usize> {
        let end = self.ignore(place)?;
        self.is_element(end, self.bytes.len()).then_some(end)
    }

    /// Whether an element of an array ends at a place, as the bytes before `limit` tell.
    fn is_element(&mut self, end: usize, limit: usize) -> bool {
        let next = self.skip_space(end);
        next < limit && matches!(self.bytes[next], b',' | b']')
    }

    /// End of a value of any kind.
    fn ignore(&mut self, place: usize) -> Option<usize> {
        match self.bytes.get(place)? {
            // A sound page is not worth the memory of the scanner.
            b'{' | b'[' if self.damaged => {
                let end = self.scanner.end(place)?;
                (end - place <= MAX_VALUE_BYTES).then_some(end)
            }
            _ => Some(self.parse::<IgnoredAny>(place)?.1),
        }
    }

    /// Place of the next object or array that may be an entry.
    fn next_entry(&mut self, start: usize) -> Option<usize> {
        let bytes = self.bytes;
        let mut before = None;
        for place in start..bytes.len() {
            let byte = bytes[place];
            self.looked_at += 1;
            // Scalars are left out: too much of a damaged entry looks like one.
            let begins = match byte {
                b'{' => matches!(before, Some(b',' | b'[')),
                b'[' => before == Some(b','),
                _ => false,
            };
            if !matches!(byte, b' ' | b'\t' | b'\n' | b'\r' | b'\x0c') {
                before = Some(byte);
            }
            if !begins {
                continue;
            }
            self.tries += 1;
            if self.tries > MAX_TRIES {
                return None;
            }
            let limit = bytes.len().min(place + MAX_ENTRY_BYTES);
            let end = self.scanner.end(place);
            if end.is_some_and(|end| self.is_element(end, limit)) {
                return Some(place);
            }
        }
        None
    }

    /// Whether what follows the end of an array is the sound rest of the page, or the
    /// next array.
    fn is_sound_after(&mut self, start: usize) -> bool {
        if self.rests.is_empty() {
            self.rests = vec![0; self.bytes.len() + 1];
        }
        let mut passed = Vec::new();
        let mut place = start;
        let last = loop {
            if self.rests[place] != 0 {
                break self.rests[place];
            }
            passed.push(place);
            match self.rest(place) {
                Rest::Sound => break u32::try_from(place).unwrap_or(UNSOUND),
                Rest::Member(end) => place = end,
                Rest::Unsound => break UNSOUND,
            }
        };
        for place in passed {
            self.rests[place] = last;
        }
        let last = usize::try_from(last).ok().filter(|_| last != UNSOUND);
        last.is_some_and(|last| last - start <= MAX_REST_BYTES)
    }

    fn rest(&mut self, place: usize) -> Rest {
        let place = self.skip_space(place);
        match self.bytes.get(place) {
            Some(b'}') if self.skip_space(place + 1) == self.bytes.len() => return Rest::Sound,
            Some(b',') => {}
            _ => return Rest::Unsound,
        }
        let next = self.skip_space(place + 1);
        let Some((name, value)) = self.name(next) else {
            return Rest::Unsound;
        };
        if self.layout.arrays.contains(&name.as_str()) {
            return match self.bytes.get(value) {
                Some(b'[') => Rest::Sound,
                _ => Rest::Unsound,
            };
        }
        self.ignore(value).map_or(Rest::Unsound, Rest::Member)
    }

    /// Looks for the member that ends a complete page, after damaged bytes.
    fn find_last(&mut self) -> bool {
        let Some(last) = self.layout.last else {
            return false;
        };
        let quoted = format!("\"{last}\"");
        let bytes = self.bytes;
        let begins =
            |place: usize| bytes[place] == b'"' && bytes[place..].starts_with(quoted.as_bytes());
        self.looked_at += bytes.len();
        let Some(place) = (0..bytes.len()).rev().find(|place| begins(*place)) else {
            return false;
        };
        let Some((_, value)) = self.name(place) else {
            return false;
        };
        let Some((value, end)) = self.parse::<Value>(value) else {
            return false;
        };
        let close = self.skip_space(end);
        let ends =
            self.bytes.get(close) == Some(&b'}') && self.skip_space(close + 1) == self.bytes.len();
        if ends {
            self.page.last = Some(value);
        }
        ends
    }

    /// The name of a member, and the place of its value.
    fn name(&mut self, place: usize) -> Option<(String, usize)> {
        let (name, end) = self.parse::<String>(place)?;
        let colon = self.skip_space(end);
        (self.bytes.get(colon) == Some(&b':')).then(|| (name, self.skip_space(colon + 1)))
    }

    /// A value other than an array of entries, and the place after it.
    fn parse<V>(&mut self, place: usize) -> Option<(V, usize)>
    where
        V: DeserializeOwned,
    {
        let limit = self.bytes.len().min(place + MAX_VALUE_BYTES);
        let bytes = self.bytes.get(place..limit)?;
        let mut values = Deserializer::from_slice(bytes).into_iter::<V>();
        let value = values.next()?;
        let length = match &value {
            Ok(_) => values.byte_offset(),
            // Only damage over several lines has more, and it is parsed once.
            Err(error) => error.column(),
        };
        self.looked_at += length;
        Some((value.ok()?, place + length))
    }

    fn skip_space(&mut self, place: usize) -> usize {
        let rest = self.bytes.get(place..).unwrap_or_default();
        let length = rest
            .iter()
            .take_while(|it| it.is_ascii_whitespace())
            .count();
        self.looked_at += length + 1;
        place + length
    }
}
