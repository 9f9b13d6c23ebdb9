//! Protobuf messages between processes, the frame codec and the link handshake.
//!
//! The messages are generated from `proto/sassafras.proto` and sent in length-delimited frames.
//! [`JobKey`] and [`NodeRef`] are validated forms of the two identifiers that most messages
//! contain.
//!
//! ```
//! use sassafras_wire::FrameCodec;
//! use sassafras_wire::proto;
//! use tokio_util::codec::Decoder;
//! use tokio_util::codec::Encoder;
//!
//! let body = proto::frame::Body::Release(proto::Release::default());
//! let frame = proto::Frame { request: 7, reply: false, body: Some(body) };
//! let mut buf = bytes::BytesMut::new();
//! let mut codec = FrameCodec::new(1024);
//! codec.encode(frame.clone(), &mut buf).unwrap();
//! assert_eq!(codec.decode(&mut buf).unwrap(), Some(frame));
//! ```

mod codec;
#[expect(
    missing_docs,
    clippy::pedantic,
    clippy::empty_structs_with_brackets,
    reason = "generated code"
)]
#[rustfmt::skip]
mod generated;
mod handshake;
mod ident;

pub use codec::CodecError;
pub use codec::FrameCodec;
pub use handshake::ClusterKey;
pub use handshake::PROTOCOL_VERSION;
pub use ident::JobKey;
pub use ident::NodeRef;
pub use ident::WireError;

/// The generated message types.
pub mod proto {
    pub use crate::generated::*;
}

pub use proto::frame::Body;

/// Maximum size of a frame that a process sends or accepts.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
