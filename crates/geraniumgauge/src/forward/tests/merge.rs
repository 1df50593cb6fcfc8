use crate::forward;

quickcheck::quickcheck! {
    fn the_greatest_records_come_first(bodies: Vec<Vec<u8>>, count: u8) -> bool {
        let count = usize::from(count % 40);
        let merged = forward::top_records(bodies.iter().map(Vec::as_slice), count);
        let mut naive: Vec<&[u8]> = bodies
            .iter()
            .flat_map(|body| body.chunks_exact(forward::RECORD_BYTES))
            .collect();
        naive.sort();
        naive.reverse();
        naive.truncate(count);
        merged == naive.concat()
    }

    /// Merging merged records again loses nothing. Relays merge before the
    /// requester does.
    fn merging_in_two_steps_is_merging_once(one: Vec<u8>, two: Vec<u8>, three: Vec<u8>, count: u8) -> bool {
        let count = usize::from(count % 20);
        let first = forward::top_records([one.as_slice(), &two].into_iter(), count);
        let twice = forward::top_records([first.as_slice(), &three].into_iter(), count);
        twice == forward::top_records([one.as_slice(), &two, &three].into_iter(), count)
    }
}
