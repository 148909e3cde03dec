use super::*;

#[test]
fn all_answers_together_are_bounded_and_give_their_memory_back() {
    let memory = Memory::new(4_000);
    let (mut one, mut other) = (memory.hold(), memory.hold());
    assert!(one.grow(600) && other.grow(400));
    assert!(!one.grow(1), "a quarter is held");
    drop(other);
    assert!(one.grow(400));
    assert_eq!(memory.held_bytes(), 1_000);
    drop(one);
    assert_eq!(memory.held_bytes(), 0);
}
