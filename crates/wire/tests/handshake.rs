//! Guards against processes of another cluster, and replayed or altered handshakes.

use sassafras_wire::ClusterKey;
use sassafras_wire::proto::Proof;
use sassafras_wire::proto::Welcome;

#[test]
fn a_proof_holds_for_its_key_challenge_and_content_only() {
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

#[test]
fn a_welcome_holds_for_both_nonces() {
    let key = ClusterKey::new(b"one");
    let welcome = key.sign_welcome(b"c", b"n", Welcome::default());
    assert!(key.verify_welcome(b"c", b"n", &welcome));
    assert!(!key.verify_welcome(b"c", b"m", &welcome));
    assert!(!key.verify_welcome(b"n", b"c", &welcome));
}
