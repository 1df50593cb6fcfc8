use super::*;

/// Derives a record of one VM from a few small values, so that many are equal.
fn record(seed: u32) -> Record {
    let health = [Health::Alive, Health::Suspect, Health::Dead];
    Record {
        vm: "a".parse().unwrap(),
        incarnation: ids::Incarnation(u64::from(seed % 2)),
        refutation: seed / 2 % 3,
        data_centre: "dc-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        leaving: seed / 6 % 2 == 1,
        health: health[(seed / 12 % 3) as usize],
    }
}

fn merged(seeds: &[u32]) -> Option<Record> {
    let mut records = seeds.iter().map(|seed| record(*seed));
    let first = records.next()?;
    Some(records.fold(first, |held, other| held.merge(&other).unwrap_or(held)))
}

#[test]
fn order_and_duplicates_of_records_do_not_matter() {
    fn property(mut seeds: Vec<u32>, rotation: usize) -> bool {
        let held = merged(&seeds);
        let rotated = rotation % seeds.len().max(1);
        seeds.rotate_left(rotated);
        seeds.extend_from_within(..rotated);
        seeds.reverse();
        merged(&seeds) == held
    }
    crate::seeds::checker().quickcheck(property as fn(Vec<u32>, usize) -> bool);
}

#[test]
fn leaving_is_never_undone_within_an_incarnation() {
    fn property(seeds: Vec<u32>) -> bool {
        let mut held: Option<Record> = None;
        seeds.into_iter().map(record).all(|next| {
            let before = held.take().unwrap_or_else(|| next.clone());
            let after = before.merge(&next).unwrap_or_else(|| before.clone());
            let kept = after.incarnation > before.incarnation || after.leaving >= before.leaving;
            held = Some(after);
            kept
        })
    }
    crate::seeds::checker().quickcheck(property as fn(Vec<u32>) -> bool);
}
