//! Tests of the memory of kept prompts.

use bytes::Bytes;

use super::*;

#[test]
fn a_prompt_is_forgotten_after_the_retention_unless_it_is_sent_again() {
    let engine = Bytes::from_static(b"llm-1");
    let mut kept = KeptPrompts::default();
    kept.record(1, &engine, time::Duration::ZERO);
    kept.record(2, &engine, time::Duration::ZERO);
    let later = RETENTION / 2;
    kept.record(2, &Bytes::from_static(b"llm-2"), later);
    assert_eq!(kept.engine(1, RETENTION), Some(&engine));
    let expired = RETENTION + time::Duration::from_millis(1);
    assert_eq!(kept.engine(1, expired), None);
    kept.record(3, &engine, expired);
    assert_eq!(kept.engine(2, expired), Some(&Bytes::from_static(b"llm-2")));
}

#[test]
fn the_number_of_remembered_prompts_is_bounded() {
    let engine = Bytes::from_static(b"llm-1");
    let mut kept = KeptPrompts::default();
    for prompt in 0..3 * MAX_PROMPTS as u64 {
        kept.record(prompt, &engine, time::Duration::ZERO);
    }
    assert!(kept.engines.len() <= MAX_PROMPTS);
    let last = 3 * MAX_PROMPTS as u64 - 1;
    assert_eq!(kept.engine(last, time::Duration::ZERO), Some(&engine));
    assert_eq!(kept.engine(0, time::Duration::ZERO), None, "the oldest go first");
}
