//! Mutual proof of the cluster key when a link opens.
//!
//! The accepting side sends a nonce, the dialling side answers with its own nonce and a MAC
//! over both nonces and its identity, and the accepting side answers with a MAC of its own.
//! The direction is part of the MAC, so that neither message can be reflected.

use hmac::Hmac;
use hmac::KeyInit as _;
use hmac::Mac as _;
use prost::Message as _;
use sha2::Sha256;

use crate::proto::Proof;
use crate::proto::Welcome;

/// Version of the protocol between processes.
pub const PROTOCOL_VERSION: u32 = 1;

/// The key that the processes of one cluster share.
#[derive(Clone)]
pub struct ClusterKey(Box<[u8]>);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// Wraps the bytes of a key.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }

    /// Fills in the MAC of the dialling side's proof.
    pub fn sign_proof(&self, challenge: &[u8], mut proof: Proof) -> Proof {
        proof.mac = bytes::Bytes::new();
        proof.mac = self.mac(b"dial", challenge, b"", &proof.encode_to_vec());
        proof
    }

    /// Reports whether the dialling side knows the key.
    pub fn verify_proof(&self, challenge: &[u8], proof: &Proof) -> bool {
        same(&self.sign_proof(challenge, proof.clone()).mac, &proof.mac)
    }

    /// Fills in the MAC of the accepting side's answer.
    pub fn sign_welcome(&self, challenge: &[u8], nonce: &[u8], mut welcome: Welcome) -> Welcome {
        welcome.mac = bytes::Bytes::new();
        welcome.mac = self.mac(b"accept", challenge, nonce, &welcome.encode_to_vec());
        welcome
    }

    /// Reports whether the accepting side knows the key.
    pub fn verify_welcome(&self, challenge: &[u8], nonce: &[u8], welcome: &Welcome) -> bool {
        same(
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
        // HMAC takes keys of any length, so this cannot fail.
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts any key length");
        for part in [direction, challenge, nonce, message] {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        bytes::Bytes::copy_from_slice(&mac.finalize().into_bytes())
    }
}

/// Compares two MACs in constant time.
fn same(a: &[u8], b: &[u8]) -> bool {
    subtle::ConstantTimeEq::ct_eq(a, b).into()
}
