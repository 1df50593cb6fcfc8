use super::*;

/// Every upstream sheds load, and each shed call is to be retried, which would double
/// the load on upstreams that are overloaded already. The budget limits retries to
/// its share of the first attempts plus the burst.
#[test]
fn spending_stays_within_the_share_and_the_cap() {
    fn property(steps: Vec<bool>) -> bool {
        let mut budget = Budget::new(Share::percent(5), 10.0);
        let (mut first_attempts, mut spent) = (0usize, 0usize);
        for first in steps {
            if first {
                budget.earn(1);
                first_attempts += 1;
            } else if budget.spend() {
                spent += 1;
            }
        }
        spent as f64 <= 10.0 + 0.05 * first_attempts as f64 + 1e-6
    }
    crate::seeds::checker().quickcheck(property as fn(Vec<bool>) -> bool);
}

#[test]
fn a_share_above_one_is_refused() {
    assert!("1.2".parse::<Share>().is_err());
    assert_eq!("0.05".parse::<Share>().map(Share::get), Ok(0.05));
}

#[test]
fn link_rates_are_parsed_and_displayed_unchanged() {
    let link = BytesPerSecond::from_megabits(14.0);
    assert_eq!(link, BytesPerSecond(1_750_000.0));
    assert_eq!(link.to_megabits(), 14.0);
    assert_eq!(link.to_string().parse(), Ok(link));
    for wrong in ["0", "-1 B/s", "fast", ""] {
        assert!(wrong.parse::<BytesPerSecond>().is_err(), "{wrong}");
    }
}
