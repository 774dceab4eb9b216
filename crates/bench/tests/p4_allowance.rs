//! P4: no account receives more than rate x window + burst over all hosts together, in any window.

mod support;

use std::time::Duration;

use futures::future::join;
use support::*;

/// Tokens per second of the account under test; about 16 requests per second.
const RATE: u64 = 480;

/// Burst of the account under test.
const BURST: u64 = 960;

fn limited_plan() -> FleetPlan {
    FleetPlan::new(3)
        .account("small", RATE, BURST)
        .each_engine(|e| (e.first_ms, e.token_ms) = (2, 0))
}

fn small() -> CompletionRequest {
    // At most 30 tokens: up to 10 for the prompt of 6 words, and 20 for the answer.
    CompletionRequest { key: Some(account_key("small")), ..request("a0", "1", 20) }
}

/// Tokens of the answers to `out`, without the prompts.
fn received(out: &[Outcome]) -> u64 {
    out.iter().filter(|o| o.is_ok()).count() as u64 * 20
}

cases! {
    // Guards against shares of the allowance that several hosts hold at once.
    the_bound_holds_with_callers_on_all_hosts: {
        let (f, d, t) = fleet(limited_plan()).await?;
        let span = Duration::from_secs(8);
        let out = run_load(&d, 12, span, |i| (t[i % 3].clone(), small())).await;
        assert_no_violations(&f, &d).await?;
        // More than the share of one host, or the test is void.
        assert!(received(&out) > RATE * 8 / 3, "{}", received(&out));
        assert!(out.iter().any(|o| o.status == Some(429)));
    }
    // Guards against loans that create tokens, and against hosts that cannot borrow another's
    // share.
    the_bound_holds_when_callers_move_from_host_to_host: {
        let (f, d, t) = fleet(limited_plan()).await?;
        let begin = std::time::Instant::now();
        let out = run_load(&d, 12, Duration::from_secs(9), |_| {
            let i = begin.elapsed().as_secs() as usize / 3 % 3;
            (t[i].clone(), small())
        }).await;
        assert_no_violations(&f, &d).await?;
        assert!(received(&out) > RATE * 9 / 2, "{} of {}", received(&out), RATE * 9);
    }
    // Guards against a replacement that uses its predecessor's share a second time.
    the_bound_holds_when_a_host_is_replaced: {
        let (mut f, d, t) = fleet(limited_plan()).await?;
        let first = t[0].clone();
        run_load(&d, 12, Duration::from_secs(3), |i| (t[i % 3].clone(), small())).await;
        d.record_kill(&first.name);
        f.kill_host(&first.name)?;
        let rest: Vec<_> = t[1..].to_vec();
        let work = run_load(&d, 12, Duration::from_secs(8), |i| (rest[i % 2].clone(), small()));
        let fault = async {
            let new = f.replace_host(&first.name).await.unwrap();
            f.wait_host_ready(&new, LONG_TIMEOUT).await.unwrap();
            let all = targets(&f);
            run_load(&d, 12, Duration::from_secs(4), |i| (all[i % 3].clone(), small())).await
        };
        join(work, fault).await;
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a paused host that resumes and uses a share that others have taken over.
    the_bound_holds_when_a_host_pauses_and_resumes: {
        let (f, d, t) = fleet(limited_plan()).await?;
        let work = run_load(&d, 12, Duration::from_secs(10), |i| (t[i % 3].clone(), small()));
        let fault = async {
            for _ in 0..2 {
                tokio::time::sleep(Duration::from_secs(1)).await;
                f.pause_host(&t[0].name).unwrap();
                tokio::time::sleep(Duration::from_secs(4)).await;
                f.resume_host(&t[0].name).unwrap();
            }
        };
        join(work, fault).await;
        assert_no_violations(&f, &d).await?;
    }
    // Guards against a partition whose two sides both use the whole allowance.
    the_bound_holds_through_a_partition: {
        let (f, d, t) = fleet(limited_plan().proxied()).await?;
        let work = run_load(&d, 12, Duration::from_secs(12), |i| (t[i % 3].clone(), small()));
        let fault = async {
            let rest = [t[1].name.as_str(), t[2].name.as_str()];
            tokio::time::sleep(Duration::from_secs(2)).await;
            f.update_links(&[&t[0].name], &rest, |l| l.blocked = true).unwrap();
            tokio::time::sleep(Duration::from_secs(6)).await;
            f.update_links(&[&t[0].name], &rest, |l| l.blocked = false).unwrap();
        };
        join(work, fault).await;
        assert_no_violations(&f, &d).await?;
    }
}
