//! Log segments: file names, frame bodies and decoding.

use crate::{
    Error, Index, Record, ReplicaId,
    frame::{self, HEADER_BYTES, MARKER_BYTES},
};

/// Version of the format of segments and snapshots.
pub(crate) const FORMAT: u32 = 1;

/// Prefix of a segment's file name.
const PREFIX: &str = "log-";

/// Bytes of a header before the hard state.
const SEGMENT_HEADER_BYTES: usize = 28;

/// Bytes of an entry's index and length, before its data.
const ENTRY_HEADER_BYTES: usize = 12;

/// File name of a segment.
pub(crate) fn name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// Number of the segment with this file name.
pub(crate) fn number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?;
    let number = u64::from_str_radix(digits, 16).ok()?;
    (self::name(number) == name).then_some(number)
}

/// Header of a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    /// Replica that the segment belongs to.
    pub(crate) replica: ReplicaId,
    /// Index of the last record before the segment; later ones are invalid.
    pub(crate) base: Index,
    /// Hard state when the segment was created.
    pub(crate) hard: Vec<u8>,
}

/// One staged item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Item {
    /// A record; replaces earlier items with the same or a higher index.
    Entry(Record),
    /// The hard state.
    Hard(Vec<u8>),
}

/// Body of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Body {
    /// First frame of a segment.
    Header(Header),
    /// Items that were synced together.
    Batch(Vec<Item>),
    /// Last frame of a segment; the next segment exists.
    Closed,
}

const BODY_HEADER: u8 = 0;
const BODY_BATCH: u8 = 1;
const BODY_CLOSED: u8 = 2;
const ITEM_ENTRY: u8 = 1;
const ITEM_HARD: u8 = 2;

impl Body {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        match self {
            Self::Header(header) => {
                bytes.push(BODY_HEADER);
                bytes.extend_from_slice(&[0; 7]);
                bytes.extend_from_slice(&FORMAT.to_le_bytes());
                bytes.extend_from_slice(&header.replica.to_le_bytes());
                bytes.extend_from_slice(&header.base.to_le_bytes());
                bytes.extend_from_slice(&header.hard);
            }
            Self::Batch(items) => {
                bytes.push(BODY_BATCH);
                for item in items {
                    encode_item(item, &mut bytes);
                }
            }
            Self::Closed => bytes.push(BODY_CLOSED),
        }
        bytes
    }

    /// Decodes a body; checks the format of a header first, since another format
    /// may have any layout.
    fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let (kind, rest) = bytes.split_first().ok_or(Malformed::Shape)?;
        match *kind {
            BODY_HEADER => decode_header(bytes).map(Self::Header),
            BODY_BATCH => decode_items(rest).map(Self::Batch),
            BODY_CLOSED if rest.is_empty() => Ok(Self::Closed),
            _ => Err(Malformed::Shape),
        }
    }
}

/// Why a body with a valid checksum cannot be decoded.
enum Malformed {
    Shape,
    Format(u32),
}

impl Malformed {
    fn into_error(self, file: &str, offset: usize) -> Error {
        match self {
            Self::Shape => Error::Damaged {
                file: file.to_owned(),
                offset: offset as u64,
                reason: "the record has no known shape",
            },
            Self::Format(found) => Error::Format {
                file: file.to_owned(),
                found,
                known: FORMAT,
            },
        }
    }
}

fn encode_item(item: &Item, bytes: &mut Vec<u8>) {
    match item {
        Item::Entry(record) => {
            bytes.push(ITEM_ENTRY);
            bytes.extend_from_slice(&record.index.to_le_bytes());
            push_data(&record.data, bytes);
        }
        Item::Hard(data) => {
            bytes.push(ITEM_HARD);
            push_data(data, bytes);
        }
    }
}

fn push_data(data: &[u8], bytes: &mut Vec<u8>) {
    let length = u32::try_from(data.len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(data);
}

fn decode_header(bytes: &[u8]) -> Result<Header, Malformed> {
    let format = frame::u32_at(bytes, 8).ok_or(Malformed::Shape)?;
    if format != FORMAT {
        return Err(Malformed::Format(format));
    }
    let replica = frame::u64_at(bytes, 12).ok_or(Malformed::Shape)?;
    let base = frame::u64_at(bytes, 20).ok_or(Malformed::Shape)?;
    let hard = bytes
        .get(SEGMENT_HEADER_BYTES..)
        .ok_or(Malformed::Shape)?
        .to_vec();
    Ok(Header {
        replica,
        base,
        hard,
    })
}

fn decode_items(mut bytes: &[u8]) -> Result<Vec<Item>, Malformed> {
    let mut items = Vec::new();
    while let Some((kind, rest)) = bytes.split_first() {
        let (item, used) = match *kind {
            ITEM_ENTRY => {
                let index = frame::u64_at(rest, 0).ok_or(Malformed::Shape)?;
                let data = data_at(rest, 8)?;
                let used = ENTRY_HEADER_BYTES + data.len();
                let data = data.to_vec();
                (Item::Entry(Record { index, data }), used)
            }
            ITEM_HARD => {
                let data = data_at(rest, 0)?;
                (Item::Hard(data.to_vec()), 4 + data.len())
            }
            _ => return Err(Malformed::Shape),
        };
        items.push(item);
        bytes = rest.get(used..).ok_or(Malformed::Shape)?;
    }
    Ok(items)
}

fn data_at(bytes: &[u8], at: usize) -> Result<&[u8], Malformed> {
    let length = frame::u32_at(bytes, at).ok_or(Malformed::Shape)?;
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    let start = at + 4;
    let end = start.checked_add(length).ok_or(Malformed::Shape)?;
    bytes.get(start..end).ok_or(Malformed::Shape)
}

/// A segment as read from its file.
#[derive(Debug)]
pub(crate) struct Segment {
    /// Its number.
    pub(crate) number: u64,
    /// Its first frame.
    pub(crate) header: Header,
    /// Items of all batches in order.
    pub(crate) items: Vec<Item>,
    /// Whether it ends with a closing frame.
    pub(crate) closed: bool,
    /// Offset after the last complete frame, without its marker.
    pub(crate) end: usize,
    /// The last complete frame, unless a marker shows that it was synced.
    pub(crate) unmarked: Option<Frame>,
}

/// A frame as read from its file.
#[derive(Debug)]
pub(crate) struct Frame {
    /// Its offset.
    pub(crate) offset: usize,
    /// Its bytes.
    pub(crate) bytes: Vec<u8>,
}

/// Decodes a segment; `None` if its header is incomplete, so nothing was synced.
///
/// A torn tail is skipped; only the caller knows whether this segment may have one.
///
/// # Errors
/// Data that was synced is damaged.
pub(crate) fn read(number: u64, bytes: &[u8]) -> Result<Option<Segment>, Error> {
    let file = name(number);
    let Some(body) = frame::decode(number, bytes, 0) else {
        check_torn(&file, number, bytes, 0)?;
        return Ok(None);
    };
    let header = match Body::decode(body).map_err(|it| it.into_error(&file, 0))? {
        Body::Header(header) => header,
        Body::Batch(_) | Body::Closed => return Err(Malformed::Shape.into_error(&file, 0)),
    };
    let mut segment = Segment {
        number,
        header,
        items: Vec::new(),
        closed: false,
        end: HEADER_BYTES + body.len(),
        unmarked: None,
    };
    let last = segment.read_frames(&file, bytes)?;
    segment.unmarked = unmarked(number, bytes, last, segment.end);
    Ok(Some(segment))
}

/// The frame between two offsets, unless a marker follows it.
fn unmarked(number: u64, bytes: &[u8], offset: usize, end: usize) -> Option<Frame> {
    let marker = frame::marker(number, end as u64);
    if bytes.get(end..)?.starts_with(&marker) {
        return None;
    }
    let bytes = bytes.get(offset..end)?.to_vec();
    Some(Frame { offset, bytes })
}

impl Segment {
    /// Reads the frames after the header; returns the offset of the last one.
    fn read_frames(&mut self, file: &str, bytes: &[u8]) -> Result<usize, Error> {
        let mut last = 0;
        loop {
            let offset = self.end + MARKER_BYTES;
            let Some(body) = frame::decode(self.number, bytes, offset) else {
                check_torn(file, self.number, bytes, offset)?;
                return Ok(last);
            };
            last = offset;
            match Body::decode(body).map_err(|it| it.into_error(file, offset))? {
                Body::Batch(items) if !self.closed => self.items.extend(items),
                Body::Closed if !self.closed => self.closed = true,
                Body::Header(_) | Body::Batch(_) | Body::Closed => {
                    return Err(Malformed::Shape.into_error(file, offset));
                }
            }
            self.end = offset + HEADER_BYTES + body.len();
        }
    }
}

/// Refuses an invalid frame at `offset` if a marker after it shows that it was synced.
fn check_torn(file: &str, number: u64, bytes: &[u8], offset: usize) -> Result<(), Error> {
    if !frame::marker_follows(number, bytes, offset) {
        return Ok(());
    }
    Err(Error::Damaged {
        file: file.to_owned(),
        offset: offset as u64,
        reason: "a record that was synced has a wrong checksum",
    })
}
