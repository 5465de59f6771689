//! Length-delimited frames on a byte stream.
//!
//! The length prefix and its limit come from `tokio-util`; this codec adds the
//! message type and the checks that every receiver needs.

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
    /// The bytes are no frame.
    #[display("not a frame: {_0}: check that the address is a citrond peer port")]
    Garbage(prost::DecodeError),
    /// The sender speaks another version.
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

/// Frames of one cluster on one connection.
#[derive(Debug)]
pub struct Codec {
    cluster: String,
    lengths: LengthDelimitedCodec,
}

impl Codec {
    /// A codec that accepts only frames of `cluster`.
    #[must_use]
    pub fn new(cluster: &str) -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            cluster: cluster.to_owned(),
            lengths,
        }
    }

    fn check(&self, frame: Frame) -> Result<Frame, Error> {
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
        Ok(frame)
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.lengths.decode(source)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes.freeze())?;
        self.check(frame).map(Some)
    }
}

impl Encoder<Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), Error> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(bytes, target)?;
        Ok(())
    }
}
