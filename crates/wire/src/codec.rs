//! Length-delimited framing of protobuf messages.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;
use prost::Message as _;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::proto::Frame;

/// An error of reading or writing a frame.
#[derive(Debug, Display)]
pub enum CodecError {
    /// transport: {0}
    Io(io::Error),
    /// malformed frame: {0}
    Malformed(prost::DecodeError),
}

impl std::error::Error for CodecError {}

impl From<io::Error> for CodecError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

/// Encodes and decodes [`Frame`]s with a four-byte length prefix.
#[derive(Debug)]
pub struct FrameCodec(LengthDelimitedCodec);

impl FrameCodec {
    /// Creates a codec that rejects frames of more than `max_bytes` in both directions.
    pub fn new(max_bytes: usize) -> Self {
        Self(
            LengthDelimitedCodec::builder()
                .max_frame_length(max_bytes)
                .new_codec(),
        )
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Frame>, CodecError> {
        let Some(bytes) = self.0.decode(src)? else {
            return Ok(None);
        };
        Frame::decode(bytes.freeze())
            .map(Some)
            .map_err(CodecError::Malformed)
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = CodecError;

    fn encode(&mut self, item: Frame, dst: &mut BytesMut) -> Result<(), CodecError> {
        Ok(self.0.encode(Bytes::from(item.encode_to_vec()), dst)?)
    }
}
