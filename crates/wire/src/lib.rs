//! Messages between the processes, their codec and the connection handshake.
//!
//! Messages are generated from `proto/sassafras.proto` and travel in length-delimited
//! frames. [`JobKey`] and [`NodeRef`] are the domain forms of the two identifiers that
//! most messages carry.
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

/// The generated messages.
pub mod proto {
    pub use crate::generated::*;
}

pub use proto::frame::Body;

/// Largest frame that a process sends or accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
