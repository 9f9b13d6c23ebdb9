//! Guards against names that could be confused with path segments or grow without bound.

use sassafras_util::Digest;
use sassafras_util::Name;

#[test]
fn names_from_outside_are_bounded_and_plain() {
    for bad in ["", "a b", "a/b", "é", "a\n"] {
        assert!(Name::checked(bad).is_none(), "{bad:?}");
    }
    assert!(Name::checked(&"x".repeat(128)).is_some());
    assert!(Name::checked(&"x".repeat(129)).is_none());
}

#[test]
fn digests_reject_malformed_text() {
    let text = Digest::of(b"body").to_string();
    assert_eq!(Digest::parse(&text), Some(Digest::of(b"body")));
    assert_eq!(Digest::parse(&text[1..]), None);
    assert_eq!(Digest::parse(&format!("+{}", &text[1..])), None);
}
