use crate::memory::Budget;
use crate::memory::Buffer;
use crate::memory::Size;
use crate::rate::Bytes;

const KIB: u64 = 1 << 10;

fn budget() -> Budget {
    Budget::new(Bytes(800 * KIB))
}

/// Guards against parts of a budget that are lost, or given back twice, with what held them.
#[test]
fn what_is_dropped_gives_its_part_back() {
    let budget = budget();
    let mut hold = budget.hold();
    hold.resize(Bytes(300 * KIB)).expect("room");
    hold.resize(Bytes(100 * KIB)).expect("less than before");
    let mut buffer = Buffer::new(&budget);
    let size = Size::Known(200 << 10);
    buffer.append(&[1; 200 << 10], size).expect("room");
    assert_eq!(budget.used(), Bytes(300 * KIB));
    let body = buffer.freeze();
    let shared = body.slice(..10);
    drop(body);
    assert_eq!(budget.used(), Bytes(300 * KIB));
    drop(shared);
    drop(hold);
    assert_eq!(budget.used(), Bytes(0));
}

/// Guards against large messages that leave no room for the small ones of ordinary callers.
#[test]
fn large_holders_leave_a_part_to_small_ones() {
    let budget = budget();
    let mut large = budget.hold();
    large
        .resize(Bytes(701 * KIB))
        .expect_err("over seven eighths");
    large.resize(Bytes(700 * KIB)).expect("seven eighths");
    let mut small = budget.hold();
    small
        .resize(Bytes(10 * KIB))
        .expect("room for a small holder");
    let missing = small.resize(Bytes(20 * KIB));
    assert_eq!(missing.expect_err("not small").missing, Bytes(10 * KIB));
    assert_eq!(small.held(), Bytes(10 * KIB));
}

/// Guards against a message that lacks memory when most of it has come, though there was enough
/// when it began.
#[test]
fn a_message_of_known_size_has_its_whole_part_from_its_start() {
    let budget = budget();
    let mut buffer = Buffer::new(&budget);
    let size = Size::Known(500 << 10);
    buffer.append(b"a", size).expect("room");
    let mut others = budget.hold();
    others
        .resize(Bytes(201 * KIB))
        .expect_err("what the message will need");
    buffer
        .append(&vec![b'a'; (500 << 10) - 1], size)
        .expect("its part");
    assert_eq!(buffer.freeze().len(), 500 << 10);
}

/// Guards against messages of unknown size that each take up as much as the largest one may have.
#[test]
fn a_message_of_unknown_size_holds_about_what_has_come() {
    let budget = budget();
    let mut buffer = Buffer::new(&budget);
    let size = Size::AtMost(500 << 10);
    buffer.append(b"a", size).expect("room");
    assert!(budget.used() <= Bytes(KIB));
    buffer.append(&[b'a'; 99 << 10], size).expect("room");
    assert!(budget.used() <= Bytes(200 * KIB));
    assert_eq!(buffer.freeze().len(), (99 << 10) + 1);
}

/// Guards against bytes that are lost or changed where a buffer grows.
#[test]
fn a_buffer_returns_what_was_appended() {
    for len in [0, 1, 1000, 1 << 16, (1 << 16) + 1, 300_000] {
        let bytes: Vec<u8> = (0..len).map(|number| number as u8).collect();
        for piece in [1 + len / 40, 1 + len / 3, 1 + len] {
            for size in [Size::Known(len), Size::AtMost(len), Size::AtMost(1 << 19)] {
                let mut buffer = Buffer::new(&Budget::unlimited());
                for piece in bytes.chunks(piece) {
                    buffer.append(piece, size).expect("room");
                }
                assert_eq!(buffer.len(), len);
                assert_eq!(buffer.freeze(), bytes);
            }
        }
    }
}
