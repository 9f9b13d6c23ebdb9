//! Tests of the handshake: processes of other clusters, and replayed or modified messages.

use sassafras_wire::ClusterKey;
use sassafras_wire::proto::Proof;
use sassafras_wire::proto::Welcome;

/// Guards against accepting a proof made with another key, for another challenge, or modified
/// after signing.
#[test]
fn proof_is_valid_only_for_its_key_challenge_and_content() {
    let key = ClusterKey::new(b"one");
    let proof = key.sign_proof(
        b"challenge",
        Proof {
            zone: "a".into(),
            ..Proof::default()
        },
    );
    assert!(key.verify_proof(b"challenge", &proof));
    assert!(!key.verify_proof(b"another", &proof));
    assert!(!ClusterKey::new(b"two").verify_proof(b"challenge", &proof));
    assert!(!key.verify_proof(
        b"challenge",
        &Proof {
            zone: "b".into(),
            ..proof
        }
    ));
}

/// Guards against accepting a welcome replayed from a handshake with other nonces.
#[test]
fn welcome_is_valid_only_for_both_nonces() {
    let key = ClusterKey::new(b"one");
    let welcome = key.sign_welcome(b"c", b"n", Welcome::default());
    assert!(key.verify_welcome(b"c", b"n", &welcome));
    assert!(!key.verify_welcome(b"c", b"m", &welcome));
    assert!(!key.verify_welcome(b"n", b"c", &welcome));
}
