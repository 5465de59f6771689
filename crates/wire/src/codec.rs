//! Length-delimited frames on a byte stream.
//!
//! The length prefix and its limit come from `tokio-util`; this codec adds the
//! message type and the checks that every receiver needs. The first frame of
//! each direction carries version, cluster and sender. Later frames omit them
//! and the receiver restores them, since most frames are smaller than the names.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::{Frame, MAX_FRAME_BYTES, VERSION};

/// Why a frame was refused.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The connection failed, or a length is over the limit.
    #[display("peer connection: {_0}")]
    Io(std::io::Error),
    /// The bytes are not a frame.
    #[display("not a frame: {_0}: check that the address is a citrond peer port")]
    Decode(prost::DecodeError),
    /// The sender uses another version.
    #[display("frame of version {theirs}, this daemon speaks {VERSION}: upgrade the older one")]
    #[from(skip)]
    Version {
        /// Version of the frame.
        theirs: u32,
    },
    /// The sender belongs to another cluster.
    #[display("frame of cluster {theirs:?}: check --cluster on both sides")]
    #[from(skip)]
    Cluster {
        /// Cluster that the frame names.
        theirs: String,
    },
}

/// Codec of the frames of one cluster on one connection.
#[derive(Debug)]
pub struct Codec {
    cluster: String,
    framing: LengthDelimitedCodec,
    /// Whether the first frame was sent.
    sent_first: bool,
    /// Sender named in the first frame received.
    peer: Option<String>,
    sent_bytes: u64,
    received_bytes: u64,
}

/// Bytes of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: u64 = 4;

impl Codec {
    /// Creates a codec that accepts only frames of `cluster`.
    #[must_use]
    pub fn new(cluster: &str) -> Self {
        let framing = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            cluster: cluster.to_owned(),
            framing,
            sent_first: false,
            peer: None,
            sent_bytes: 0,
            received_bytes: 0,
        }
    }

    /// Bytes encoded since the last call, length prefixes included.
    pub fn take_sent_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.sent_bytes)
    }

    /// Bytes decoded since the last call, length prefixes included.
    pub fn take_received_bytes(&mut self) -> u64 {
        std::mem::take(&mut self.received_bytes)
    }

    /// Validates the first frame, and restores the fields that later ones omit.
    fn validate(&mut self, frame: Frame) -> Result<Frame, Error> {
        if let Some(peer) = &self.peer
            && frame.version == 0
        {
            return Ok(Frame {
                version: VERSION,
                cluster: self.cluster.clone(),
                from: peer.clone(),
                ..frame
            });
        }
        if frame.version != VERSION {
            return Err(Error::Version {
                theirs: frame.version,
            });
        }
        if frame.cluster != self.cluster {
            return Err(Error::Cluster {
                theirs: frame.cluster,
            });
        }
        self.peer = Some(frame.from.clone());
        Ok(frame)
    }

    /// Clears version, cluster and sender in all frames but the first.
    fn strip_names(&mut self, frame: Frame) -> Frame {
        if !std::mem::replace(&mut self.sent_first, true) {
            return frame;
        }
        Frame {
            version: 0,
            cluster: String::new(),
            from: String::new(),
            ..frame
        }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.framing.decode(source)? else {
            return Ok(None);
        };
        self.received_bytes += LENGTH_PREFIX_BYTES + bytes.len() as u64;
        let frame = Frame::decode(bytes.freeze())?;
        self.validate(frame).map(Some)
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Error> {
        let bytes = Bytes::from(self.strip_names(frame).encode_to_vec());
        self.sent_bytes += LENGTH_PREFIX_BYTES + bytes.len() as u64;
        self.framing.encode(bytes, target)?;
        Ok(())
    }
}
