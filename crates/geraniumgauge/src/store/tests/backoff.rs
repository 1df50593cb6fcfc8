use super::*;

#[test]
fn delays_grow_to_the_maximum_and_start_again_after_a_success() {
    fn property(failures: u8, random: u8) -> bool {
        let (initial, max) = (
            time::Duration::from_millis(20),
            time::Duration::from_secs(2),
        );
        let mut backoff = Backoff::new(initial, max);
        let random = f64::from(random) / 255.0;
        let delays: Vec<_> = (0..failures).map(|_| backoff.failed(random)).collect();
        backoff.succeeded();
        delays.is_sorted()
            && delays.iter().all(|delay| *delay <= max)
            && backoff.failed(1.0) == initial
    }
    crate::seeds::checker().quickcheck(property as fn(u8, u8) -> bool);
}
