use super::{Arrival, arrivals};
use crate::scenario::Scenario;

fn scenario(seed: u64, skew: f64) -> Scenario {
    let text = format!(
        r#"
note = "test"
seed = {seed}
skew = {skew}
warmup_s = 0
duration_s = 100
hosts = ["a", "b", "c", "d"]
engines = []
store = {{ rate = 4, flight = 8, load_ms = 250 }}
adapters = {{ interactive = 100, versions = ["1", "2"], zipf = 1.0, shifts_s = [50.0] }}
[[accounts]]
name = "x"
rate = 1
burst = 1
traffic = [{{ rate = 50.0, tokens = 40, max_tokens = 80 }}]
"#
    );
    toml::from_str(&text).unwrap()
}

fn share(a: &[Arrival], f: impl Fn(&Arrival) -> bool) -> f64 {
    a.iter().filter(|x| f(x)).count() as f64 / a.len() as f64
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against runs that cannot be reproduced from their seed.
    a_seed_makes_the_same_trace: {
        assert_eq!(arrivals(&scenario(7, 0.5)), arrivals(&scenario(7, 0.5)));
        assert_ne!(arrivals(&scenario(7, 0.5)), arrivals(&scenario(8, 0.5)));
    }
    // Guards against a trace whose rate, skew, popularity, shift or answer length differs from its
    // scenario.
    a_trace_has_the_shape_of_its_scenario: {
        let a = arrivals(&scenario(1, 0.6));
        assert!((4700..5300).contains(&a.len()), "{}", a.len());
        let home = share(&a, |x| x.host == 0);
        assert!((0.66..0.74).contains(&home), "{home}");
        let half = a.partition_point(|x| x.at.as_secs() < 50);
        let top = share(&a[..half], |x| x.adapter == 0);
        assert!((0.15..0.24).contains(&top), "{top}");
        let shifted = share(&a[half..], |x| x.adapter == 37);
        assert!((0.15..0.24).contains(&shifted), "{shifted}");
        let mean = a.iter().map(|x| x.tokens).sum::<u64>() as f64 / a.len() as f64;
        assert!((38.0..42.0).contains(&mean), "{mean}");
    }
}
