use std::time::Duration;

use arcstr::ArcStr;

use super::Catalog;
use crate::fleet::config::{Account, FleetConfig, Route, RouteKind, Target};

fn route(host: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(s, w): &(&str, u32)| Target { service: ArcStr::from(*s), weight: *w };
    Route {
        name: ArcStr::from(prefix),
        host: ArcStr::from(host),
        prefix: ArcStr::from(prefix),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        slo: Duration::from_millis(100),
        priority: 0,
        targets: targets.iter().map(target).collect(),
        max_attempts: 1,
        public: false,
    }
}

fn catalog() -> Catalog {
    let account = Account {
        name: "one".into(),
        keys: vec!["key-a".into(), "key-b".into()],
        priority: None,
        rate: 0.0,
        burst: 0.0,
        per_token: true,
        default_tokens: 1,
    };
    Catalog::new(FleetConfig {
        version: 1,
        routes: vec![
            route("a.example", "/x/", &[("s", 1)]),
            route("a.example", "/x/y/", &[("t", 1)]),
            route("b.example", "/x/", &[("s", 90_000), ("t", 10_000)]),
        ],
        keys_required: true,
        closed_keys: Vec::new(),
        accounts: vec![account],
        ..FleetConfig::default()
    })
}

fn name(host: &str, path: &str) -> Option<String> {
    catalog().route(host, path).map(|r| r.name.to_string())
}

macro_rules! cases {
    ($($name:ident: $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    // Guards against a request that reaches the service of a shorter prefix.
    the_longest_prefix_wins: {
        assert_eq!(name("a.example", "/x/y/2f").as_deref(), Some("/x/y/"));
        assert_eq!(name("a.example", "/x/z").as_deref(), Some("/x/"));
    }
    // Guards against a prefix that matches the beginning of a longer path segment.
    a_prefix_ends_at_a_slash: {
        assert_eq!(name("a.example", "/xy/2f"), None);
        assert_eq!(name("a.example", "/x"), None);
    }
    // Guards against routes of one host that match another, and against a port or upper case in the
    // header that hides a route.
    the_host_selects_routes: {
        assert_eq!(name("c.example", "/x/1"), None);
        assert_eq!(name("A.Example:8221", "/x/1").as_deref(), Some("/x/"));
    }
    // Guards against a revoked or unknown key that maps to an account.
    keys_find_their_account_only: {
        let c = catalog();
        assert_eq!(c.account("key-b").map(|a| a.name.as_str()), Some("one"));
        assert!(c.account("key-c").is_none());
        assert!(c.account("").is_none());
    }
    // Guards against a split that ignores its weights, and against different services for the same
    // id.
    a_split_follows_its_weights: {
        let c = catalog();
        let r = c.route("b.example", "/x/1").unwrap();
        let ids: Vec<String> = (0..10_000).map(|i| format!("id-{i}")).collect();
        let t = ids.iter().filter(|i| Catalog::pick_service(r, i).as_deref() == Some("t")).count();
        assert!((850..1150).contains(&t), "{t} of 10,000 with a weight of a tenth");
        assert_eq!(Catalog::pick_service(r, "id-1"), Catalog::pick_service(r, "id-1"));
    }
    // Guards against a division by zero for a route whose weights are all 0.
    a_route_without_weight_has_no_service: {
        assert_eq!(Catalog::pick_service(&route("a", "/", &[("s", 0)]), "id"), None);
    }
}
