use crate::document;
use crate::document::hex;

#[test]
fn digests_are_parsed_and_formatted() {
    let digest = [0xab; 32];
    let text = hex::format(&digest);
    assert_eq!(text, "ab".repeat(32));
    assert_eq!(hex::parse_digest(&text), Some(digest));
    assert_eq!(hex::parse_digest(&text.to_uppercase()), Some(digest));
    assert_eq!(hex::parse_digest(&text[1..]), None);
    assert_eq!(hex::parse_digest(&"+f".repeat(32)), None);
    assert_eq!(hex::parse_digest(&"é".repeat(32)), None);
}

#[test]
fn environments_are_parsed_by_name() {
    for environment in [document::Environment::Trial, document::Environment::Production] {
        assert_eq!(document::Environment::parse(environment.as_str()), Some(environment));
    }
    assert_eq!(document::Environment::parse("staging"), None);
}
