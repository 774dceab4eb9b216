//! `yuccawing burn`: burn rates of the service-level objectives.

use std::{fs, path::PathBuf, process::ExitCode, thread, time::Duration};

use yuccawing_core::{
    burn::{Burn, Report, Row, Sample, Window, report},
    rules::Objectives,
};

use crate::{
    client::HostClient,
    error::{CliError, CliResult},
    files, out,
};

/// Exit code when the burn rate of an objective is above its limit.
const EXIT_BURNING: u8 = 2;

/// Seconds between the two scrapes of the hosts by default.
const DEFAULT_SECONDS: u64 = 30;

/// Longest time between the two scrapes; longer windows need metrics saved before.
const MAX_WAIT_SECONDS: u64 = 3_600;

/// Report burn rates of the service-level objectives.
#[derive(argh::FromArgs)]
#[argh(
    subcommand,
    name = "burn",
    note = "Without --from, the metrics of the hosts are read twice. Each --from FILE starts a window; the --seconds at the same position gives its length.",
    error_code(
        1,
        "No host answers, a file cannot be read, or the arguments contradict each other."
    ),
    error_code(2, "The burn rate of an objective is above its limit.")
)]
pub struct Args {
    /// saved metrics at the start of a window, may be repeated
    #[argh(option, arg_name = "FILE")]
    from: Vec<PathBuf>,
    /// saved metrics at the end of all windows, instead of metrics read from hosts
    #[argh(option, arg_name = "FILE")]
    to: Option<PathBuf>,
    /// length of a window in seconds, 30 by default
    #[argh(option, arg_name = "S")]
    seconds: Vec<u64>,
    /// save the current metrics of the hosts instead of printing a report
    #[argh(option, arg_name = "FILE")]
    save: Option<PathBuf>,
    /// TOML file or directory with the objectives, may be repeated; default objectives otherwise
    #[argh(option, arg_name = "FILE")]
    rules: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// PEM file with the CA certificates of the hosts; enables TLS
    #[argh(option, arg_name = "FILE")]
    ca: Option<PathBuf>,
    /// IP addresses and ports of hosts
    #[argh(positional, arg_name = "ADDR")]
    addrs: Vec<String>,
}

pub fn run(args: &Args) -> CliResult<ExitCode> {
    if let Some(path) = &args.save {
        let text = scrape(args)?;
        fs::write(path, text).map_err(|e| CliError::File(path.clone(), e))?;
        return Ok(ExitCode::SUCCESS);
    }
    let objectives = objectives(args)?;
    let windows = windows(args)?;
    let to = match &args.to {
        Some(path) => read_sample(path)?,
        None => parse_sample("hosts", &scrape(args)?)?,
    };
    let report = report(&objectives, windows, &to);
    for host in &report.missing {
        eprintln!(
            "host {host}: no metrics at the end of the window; its latest requests are not counted"
        );
    }
    if args.json {
        out::line(serde_json::to_string_pretty(&report)?)?;
    } else {
        print_report(&report)?;
    }
    Ok(if report.is_burning() { ExitCode::from(EXIT_BURNING) } else { ExitCode::SUCCESS })
}

fn objectives(args: &Args) -> CliResult<Objectives> {
    if args.rules.is_empty() {
        return Ok(Objectives::default());
    }
    Ok(files::read_rules(&args.rules)?.objectives)
}

/// Returns all windows with the metrics at their start. Without saved metrics, scrapes the hosts
/// and waits for the length of the window.
fn windows(args: &Args) -> CliResult<Vec<Window>> {
    let usage = |m: &str| Err(CliError::Usage(m.into()));
    if args.seconds.contains(&0) {
        return usage("--seconds must be above 0");
    }
    if args.to.is_some() && args.from.is_empty() {
        return usage("--to needs --from");
    }
    if args.to.is_some() && !args.addrs.is_empty() {
        return usage("give either --to or hosts");
    }
    if args.from.is_empty() {
        let seconds = match args.seconds[..] {
            [] => DEFAULT_SECONDS,
            [s] if s <= MAX_WAIT_SECONDS => s,
            [_] => return usage("--seconds above 3600 needs --from FILE"),
            _ => return usage("several windows need as many --from FILE"),
        };
        let from = parse_sample("hosts", &scrape(args)?)?;
        thread::sleep(Duration::from_secs(seconds));
        return Ok(vec![Window { seconds, from }]);
    }
    if args.from.len() != args.seconds.len() {
        return usage("each --from FILE needs its --seconds S");
    }
    let window = |(path, seconds): (&PathBuf, &u64)| -> CliResult<Window> {
        Ok(Window { seconds: *seconds, from: read_sample(path)? })
    };
    args.from.iter().zip(&args.seconds).map(window).collect()
}

/// Reads the metrics of all hosts that answer. A comment line with the address precedes each
/// host's.
fn scrape(args: &Args) -> CliResult<String> {
    if args.addrs.is_empty() {
        return Err(CliError::Usage("give hosts, or --from and --to".into()));
    }
    let mut text = String::new();
    let mut last_error = None;
    let responses = HostClient::default().ca(args.ca.clone()).get(&args.addrs, "/metrics")?;
    for (addr, response) in args.addrs.iter().zip(responses) {
        match response {
            Ok(bytes) => {
                text += &format!("# host {addr}\n{}\n", String::from_utf8_lossy(&bytes));
            }
            Err(e) => {
                eprintln!("{e}");
                last_error = Some(e);
            }
        }
    }
    match last_error {
        Some(_) if text.is_empty() => Err(CliError::Usage("no host answers".into())),
        _ => Ok(text),
    }
}

fn read_sample(path: &PathBuf) -> CliResult<Sample> {
    let text = fs::read_to_string(path).map_err(|e| CliError::File(path.clone(), e))?;
    parse_sample(&path.display().to_string(), &text)
}

fn parse_sample(name: &str, text: &str) -> CliResult<Sample> {
    Sample::read(text).map_err(|e| CliError::Metrics(name.into(), e))
}

fn print_report(report: &Report) -> CliResult<()> {
    if report.rows.is_empty() {
        return out::line("no requests");
    }
    let heading = ["OBJECTIVE", "ACCOUNT", "WINDOW", "BAD", "TOTAL", "BURN", "LIMIT", "STATE"];
    let mut rows = vec![heading.map(String::from).to_vec()];
    for row in &report.rows {
        rows.extend(row.burns.iter().map(|b| cells(row, b)));
    }
    out::table(&rows)
}

fn cells(row: &Row, b: &Burn) -> Vec<String> {
    let account = row.account.as_ref().map_or("(all)", |a| a.as_str());
    vec![
        row.objective.to_string(),
        account.into(),
        format!("{}s", b.seconds),
        format!("{:.0}", b.count.bad),
        format!("{:.0}", b.count.total),
        format!("{:.2}", b.rate),
        format!("{:.1}", b.limit),
        if row.burning { "burning" } else { "ok" }.into(),
    ]
}
