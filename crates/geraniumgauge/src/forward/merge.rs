//! Merges the replies of shards, which consist of records of equal size.

/// Size of a record in bytes. A shorter remainder at the end of a body is
/// ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the `count` greatest records of all `bodies` in descending order.
/// Records are compared byte by byte, and equal records all count.
pub fn top_records<'b>(bodies: impl Iterator<Item = &'b [u8]>, count: usize) -> Vec<u8> {
    let mut records: Vec<u128> = Vec::new();
    for body in bodies {
        let (whole, _) = body.as_chunks::<RECORD_BYTES>();
        // Big-endian integers compare in the same order as their bytes.
        records.extend(whole.iter().map(|record| u128::from_be_bytes(*record)));
    }
    if count == 0 {
        return Vec::new();
    }
    if records.len() > count {
        // Selecting first reduces the sort from all records to `count`.
        records.select_nth_unstable_by(count - 1, |one, other| other.cmp(one));
        records.truncate(count);
    }
    records.sort_unstable_by(|one, other| other.cmp(one));
    let mut merged = Vec::with_capacity(records.len() * RECORD_BYTES);
    for record in records {
        merged.extend_from_slice(&record.to_be_bytes());
    }
    merged
}
