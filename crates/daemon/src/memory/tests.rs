use super::*;

const CAPACITY: usize = 10_000;

#[test]
fn reservations_are_charged_beyond_their_free_part_and_returned() {
    let budget = MemoryBudget::new(CAPACITY);
    let mut first = budget.reservation();
    assert_eq!(first.grow_to(UNCHARGED_BYTES), Ok(()));
    assert_eq!(budget.charged(), 0);
    assert_eq!(first.grow_by(CAPACITY), Ok(()));
    assert_eq!(budget.charged(), CAPACITY);
    let mut second = budget.reservation();
    assert_eq!(second.grow_to(UNCHARGED_BYTES), Ok(()));
    assert_eq!(second.grow_by(1), Err(OutOfMemory));
    assert_eq!(first.grow_to(1), Ok(()), "a smaller total changes nothing");
    assert_eq!(budget.charged(), CAPACITY);
    drop(first);
    assert_eq!(second.grow_by(1), Ok(()));
    drop(second);
    assert_eq!(budget.charged(), 0);
}

#[test]
fn a_buffer_charges_its_capacity_until_its_last_handle_is_dropped() {
    let budget = MemoryBudget::new(CAPACITY);
    let mut buffer = ReservedBuffer::new(budget.reservation(), 6_000);
    for _ in 0..6_000 {
        assert_eq!(buffer.push(b"x"), Ok(()));
        assert!(budget.charged() + UNCHARGED_BYTES >= buffer.bytes.capacity());
    }
    let bytes = buffer.freeze();
    assert_eq!(budget.charged(), 6_000 - UNCHARGED_BYTES);
    let part = bytes.slice(1..2);
    drop(bytes);
    assert_eq!((budget.charged(), &part[..]), (6_000 - UNCHARGED_BYTES, &b"x"[..]));
    drop(part);
    assert_eq!(budget.charged(), 0);
}

#[test]
fn a_buffer_without_memory_keeps_what_it_has() {
    let budget = MemoryBudget::new(0);
    let mut buffer = ReservedBuffer::new(budget.reservation(), 0);
    assert_eq!(buffer.push(&[1; UNCHARGED_BYTES]), Ok(()));
    assert_eq!(buffer.push(&[2]), Err(OutOfMemory));
    assert_eq!(buffer.freeze(), vec![1; UNCHARGED_BYTES]);
    assert_eq!(budget.charged(), 0);
}
