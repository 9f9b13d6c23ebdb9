//! Mutual authentication with the cluster key when a link is opened.
//!
//! The accepting side sends a nonce. The dialling side replies with its own nonce and a MAC over
//! both nonces and its identity. The accepting side replies with a MAC over both nonces and its
//! identity. Each MAC covers the direction, which prevents reflection attacks.

use hmac::Hmac;
use hmac::KeyInit as _;
use hmac::Mac as _;
use prost::Message as _;
use sha2::Sha256;

use crate::proto::Proof;
use crate::proto::Welcome;

/// Version of the protocol between processes.
pub const PROTOCOL_VERSION: u32 = 1;

/// The shared key of a cluster.
#[derive(Clone)]
pub struct ClusterKey(Box<[u8]>);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// Sets the MAC of the dialling side's proof.
    pub fn sign_proof(&self, challenge: &[u8], mut proof: Proof) -> Proof {
        proof.mac = bytes::Bytes::new();
        proof.mac = self.mac(b"dial", challenge, b"", &proof.encode_to_vec());
        proof
    }

    /// Returns whether the MAC of the dialling side's proof is valid.
    pub fn verify_proof(&self, challenge: &[u8], proof: &Proof) -> bool {
        macs_equal(&self.sign_proof(challenge, proof.clone()).mac, &proof.mac)
    }

    /// Sets the MAC of the accepting side's welcome.
    pub fn sign_welcome(&self, challenge: &[u8], nonce: &[u8], mut welcome: Welcome) -> Welcome {
        welcome.mac = bytes::Bytes::new();
        welcome.mac = self.mac(b"accept", challenge, nonce, &welcome.encode_to_vec());
        welcome
    }

    /// Returns whether the MAC of the accepting side's welcome is valid.
    pub fn verify_welcome(&self, challenge: &[u8], nonce: &[u8], welcome: &Welcome) -> bool {
        macs_equal(
            &self.sign_welcome(challenge, nonce, welcome.clone()).mac,
            &welcome.mac,
        )
    }

    fn mac(
        &self,
        direction: &[u8],
        challenge: &[u8],
        nonce: &[u8],
        message: &[u8],
    ) -> bytes::Bytes {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts any key length");
        for part in [direction, challenge, nonce, message] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        bytes::Bytes::copy_from_slice(&mac.finalize().into_bytes())
    }
}

/// Compares two MACs in constant time.
fn macs_equal(a: &[u8], b: &[u8]) -> bool {
    subtle::ConstantTimeEq::ct_eq(a, b).into()
}
