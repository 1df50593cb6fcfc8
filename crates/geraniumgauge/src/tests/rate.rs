use super::*;

/// Story: every upstream sheds, and each shed call asks to be sent again.
/// Unpaid, that doubles the load just when there is least room. The budget
/// holds extra work to its share of the first attempts plus the burst.
#[test]
fn spending_stays_within_the_share_and_the_cap() {
    fn property(steps: Vec<bool>) -> bool {
        let mut budget = Budget::new(Share::percent(5), 10.0);
        let (mut earned, mut spent) = (0usize, 0usize);
        for first in steps {
            if first {
                budget.earn(1);
                earned += 1;
            } else if budget.spend() {
                spent += 1;
            }
        }
        spent as f64 <= 10.0 + 0.05 * earned as f64 + 1e-6
    }
    crate::seeds::checker().quickcheck(property as fn(Vec<bool>) -> bool);
}

#[test]
fn a_share_above_one_is_refused() {
    assert!("1.2".parse::<Share>().is_err());
    assert_eq!("0.05".parse::<Share>().map(Share::get), Ok(0.05));
}

#[test]
fn links_are_read_and_shown_as_they_were() {
    let link = BytesPerSecond::of_link(14.0);
    assert_eq!(link, BytesPerSecond(1_750_000.0));
    assert_eq!(link.as_link(), 14.0);
    assert_eq!(link.to_string().parse(), Ok(link));
    for wrong in ["0", "-1 B/s", "fast", ""] {
        assert!(wrong.parse::<BytesPerSecond>().is_err(), "{wrong}");
    }
}
