//! Tests that stored quarantines are read as they are written.

use super::*;

#[test]
fn a_record_keeps_what_is_written_and_a_torn_one_is_not_read() {
    let report = quarantine::Report {
        service: "llm".into(),
        pattern: vec![fleet::crashes::Feature::Part(0x91bd)],
        software_versions: vec![Some("v1".into()), None],
        crashes: 3,
        remaining_ms: 60_000,
        is_lifted: false,
    };
    let record = Record { written_ms: 7, quarantines: vec![report.clone()] };
    let value = serde_json::to_vec(&record).expect("it is encoded");
    let read: Record = serde_json::from_slice(&value).expect("it is decoded");
    assert_eq!((read.written_ms, read.quarantines), (7, vec![report]));
    assert!(serde_json::from_slice::<Record>(&value[..value.len() / 2]).is_err());
}
