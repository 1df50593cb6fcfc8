//! Merges shards' replies that are records of equal size.

/// Size of a record in bytes. A remainder shorter than this is no record.
pub const RECORD: usize = 16;

/// The greatest `count` records of all `bodies`, compared byte by byte, greatest
/// first. Equal records all count.
pub fn top<'b>(bodies: impl Iterator<Item = &'b [u8]>, count: usize) -> Vec<u8> {
    let mut records: Vec<u128> = Vec::new();
    for body in bodies {
        let (whole, _) = body.as_chunks::<RECORD>();
        // As big-endian numbers, records compare as their bytes do.
        records.extend(whole.iter().map(|record| u128::from_be_bytes(*record)));
    }
    if count == 0 {
        return Vec::new();
    }
    if records.len() > count {
        // Selecting first makes the sort one of `count` records in place of all.
        records.select_nth_unstable_by(count - 1, |one, other| other.cmp(one));
        records.truncate(count);
    }
    records.sort_unstable_by(|one, other| other.cmp(one));
    let mut merged = Vec::with_capacity(records.len() * RECORD);
    for record in records {
        merged.extend_from_slice(&record.to_be_bytes());
    }
    merged
}
