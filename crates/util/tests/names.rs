//! Tests of name validation and digest parsing.

use sassafras_util::Digest;
use sassafras_util::Name;

/// Guards against names that contain path separators, spaces or other special characters, and
/// against unbounded names.
#[test]
fn external_names_are_validated() {
    for invalid in ["", "a b", "a/b", "é", "a\n"] {
        assert!(Name::checked(invalid).is_none(), "{invalid:?}");
    }
    assert!(Name::checked(&"x".repeat(128)).is_some());
    assert!(Name::checked(&"x".repeat(129)).is_none());
}

/// Guards against accepting digests of the wrong length or with a sign.
#[test]
fn digests_reject_malformed_text() {
    let text = Digest::of(b"body").to_string();
    assert_eq!(Digest::parse(&text), Some(Digest::of(b"body")));
    assert_eq!(Digest::parse(&text[1..]), None);
    assert_eq!(Digest::parse(&format!("+{}", &text[1..])), None);
}
