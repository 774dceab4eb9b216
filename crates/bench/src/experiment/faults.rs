//! Injects the faults of a scenario at their times.

use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep_until};

use super::RunningHosts;
use crate::{
    Error, Result,
    checker::EFFECT_LIMIT_US,
    driver::Driver,
    fleet::Fleet,
    now_us,
    plan::{account_key, key_hash},
    scenario::{Fault, Scenario},
};

/// Limit on the wait for a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(45);

/// Starts and ends all faults. Returns each change with the seconds after `begin` at which it took
/// effect.
pub async fn run(
    s: &Scenario,
    begin: Instant,
    fleet: &mut Fleet,
    driver: &Driver,
    running: &RunningHosts,
) -> Result<Vec<(f64, String)>> {
    let mut steps: Vec<(f64, bool, &Fault)> = Vec::new();
    for t in &s.faults {
        steps.push((t.at_s, true, &t.fault));
        if t.for_s > 0.0 {
            steps.push((t.at_s + t.for_s, false, &t.fault));
        }
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut done = Vec::new();
    for (at, on, fault) in steps {
        sleep_until(begin + Duration::from_secs_f64(at)).await;
        let mut step = FaultStep { fleet, driver, on };
        step.apply(fault).await?;
        running.refresh(fleet);
        let after = Instant::now().saturating_duration_since(begin).as_secs_f64();
        done.push((after, format!("{fault:?} {}", if on { "begins" } else { "ends" })));
    }
    Ok(done)
}

struct FaultStep<'a> {
    fleet: &'a mut Fleet,
    driver: &'a Driver,
    on: bool,
}

impl FaultStep<'_> {
    async fn apply(&mut self, fault: &Fault) -> Result<()> {
        let on = self.on;
        match fault {
            Fault::KillHost(i) if on => {
                let name = self.host_name(*i)?;
                self.driver.record_kill(&name);
                self.fleet.kill_host(&name)
            }
            Fault::KillHost(i) => self.replace_host(*i).await,
            Fault::PauseHost(i) if on => self.fleet.pause_host(&self.host_name(*i)?),
            Fault::PauseHost(i) => self.fleet.resume_host(&self.host_name(*i)?),
            Fault::StopHost(i) if on => {
                let name = self.host_name(*i)?;
                self.driver.record_stop(&name);
                self.fleet.stop_host(&name)
            }
            Fault::StopHost(i) => {
                let name = self.host_name(*i)?;
                self.fleet.wait_host_exit(&name, STOP_TIMEOUT).await?;
                self.replace_host(*i).await
            }
            Fault::Partition(domains) => self.partition(domains),
            Fault::SilenceHost(i) if on => {
                let host = self.host_name(*i)?;
                let all = self.endpoint_names();
                let others: Vec<_> =
                    all.iter().map(String::as_str).filter(|n| *n != host).collect();
                self.fleet.silence(&[&host], &others)?;
                self.fleet.silence(&others, &[&host])
            }
            Fault::ConfigDown => self.set_config_faults(json!({"down": on})).await,
            Fault::ConfigStale => self.set_config_faults(json!({"stale": on})).await,
            Fault::ListLag(ms) => {
                let ms = if on { *ms } else { 0 };
                self.fleet.set_faults("list", json!({"lag_ms": ms})).await
            }
            Fault::RestartEngine(i) if on => self.fleet.restart_engine(&format!("e{i}")).await,
            Fault::LoadFail(ppm) => {
                self.set_engine_faults(json!({"load_fail_ppm": if on { *ppm } else { 0 }})).await
            }
            Fault::CutStreams(n) => {
                self.set_engine_faults(json!({"cut_after": if on { *n } else { 0 }})).await
            }
            Fault::SilenceStreams => self.set_engine_faults(json!({"silent": on})).await,
            Fault::RevokeKey(account) => self.change_key(account).await,
            Fault::LeaveEngine(i) => {
                let name = format!("e{i}");
                self.driver.record_leaving(&name, on);
                self.fleet.set_leaving(&name, on).await
            }
            Fault::CutCalls => {
                let names: Vec<_> = self.fleet.plan.plain.iter().map(|p| p.name.clone()).collect();
                for n in names {
                    self.fleet.set_faults(&n, json!({"cut": on})).await?;
                }
                Ok(())
            }
            Fault::SilenceHost(_) | Fault::RestartEngine(_) => Ok(()),
        }
    }

    /// Returns the name of the host that currently has an ordinal.
    fn host_name(&self, ordinal: usize) -> Result<String> {
        let found = self.fleet.hosts().find(|h| h.ordinal == ordinal);
        found
            .map(|h| h.name.clone())
            .ok_or_else(|| Error::UnknownName(format!("ordinal {ordinal}")))
    }

    async fn replace_host(&mut self, ordinal: usize) -> Result<()> {
        let name = self.host_name(ordinal)?;
        self.fleet.replace_host(&name).await.map(drop)
    }

    /// Returns the names under which the proxy knows hosts, upstreams and platform services.
    fn endpoint_names(&self) -> Vec<String> {
        let f = &self.fleet;
        let hosts = f.hosts().map(|h| h.name.clone());
        let engines = f.plan.engines.iter().map(|e| e.name.to_string());
        let plain = f.plan.plain.iter().map(|p| p.name.to_string());
        let platform = ["config", "list"].map(str::to_owned);
        hosts.chain(engines).chain(plain).chain(platform).collect()
    }

    fn partition(&self, domains: &[arcstr::ArcStr]) -> Result<()> {
        let f = &self.fleet;
        let is_inside = |d: &arcstr::ArcStr| domains.contains(d);
        let hosts =
            f.hosts().filter(|h| is_inside(&f.plan.hosts[h.ordinal])).map(|h| h.name.clone());
        let engines =
            f.plan.engines.iter().filter(|e| is_inside(&e.domain)).map(|e| e.name.to_string());
        let plain =
            f.plan.plain.iter().filter(|p| is_inside(&p.domain)).map(|p| p.name.to_string());
        let inside: Vec<_> = hosts.chain(engines).chain(plain).collect();
        let all = self.endpoint_names();
        let outside: Vec<_> = all.iter().filter(|n| !inside.contains(n)).collect();
        let a: Vec<_> = inside.iter().map(String::as_str).collect();
        let b: Vec<_> = outside.iter().map(|n| n.as_str()).collect();
        f.update_links(&a, &b, |l| l.blocked = self.on)
    }

    async fn set_config_faults(&self, faults: serde_json::Value) -> Result<()> {
        if !self.on {
            // Changes published during the outage may take effect as late as any other change.
            self.driver.record_config_outage(0, now_us() + EFFECT_LIMIT_US);
        }
        self.fleet.set_faults("config", faults).await
    }

    async fn set_engine_faults(&self, faults: serde_json::Value) -> Result<()> {
        for e in &self.fleet.plan.engines {
            self.fleet.set_faults(&e.name, faults.clone()).await?;
        }
        Ok(())
    }

    async fn change_key(&mut self, account: &str) -> Result<()> {
        let (on, k) = (self.on, account_key(account));
        let hash = key_hash(&k);
        self.fleet
            .publish(|r| {
                if let Some(a) = r.accounts.get_mut(account) {
                    a.keys.retain(|h| *h != hash);
                    a.keys.extend((!on).then_some(hash));
                }
            })
            .await?;
        if on {
            self.driver.record_key_revoked(&k);
        } else {
            self.driver.record_key_added(&k, account);
        }
        Ok(())
    }
}
