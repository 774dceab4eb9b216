//! Measures time, memory and bytes that a configuration with many adapters takes.
//!
//! `cargo run --release -p yuccawing-core --example config_figures -- ADAPTERS [UPSTREAMS]` prints
//! one line. Each size needs its own process, so that the memory of one does not affect the next.

use std::{env, fs, hint::black_box, path::Path, process::Command, time::Instant};

use yuccawing_core::{
    config::{Config, Effect, Event, FetchTarget, Source},
    ids::Ordinal,
    rules::{Digest, Head, Rendered, Rules},
    time::Tick,
};

/// Repetitions of each step; the median is printed.
const RUNS: usize = 9;

fn main() {
    let args: Vec<_> = env::args().skip(1).collect();
    match &args[..] {
        [dir] if Path::new(dir).is_dir() => memory(Path::new(dir)),
        [adapters] => figures(number(adapters), 20),
        [adapters, upstreams] => figures(number(adapters), number(upstreams)),
        _ => eprintln!("usage: config_figures ADAPTERS [UPSTREAMS]"),
    }
}

fn number(arg: &str) -> usize {
    arg.parse().expect("a number")
}

fn figures(adapters: usize, upstreams: usize) {
    let text = inventory(adapters, upstreams);

    let check = median(|_| drop(black_box(Rules::parse("rules.toml", &text))));
    let rules = Rules::parse("rules.toml", &text).expect("the inventory passes its checks");
    let render = median(|_| drop(black_box(rules.render(1))));
    let old = rules.render(1);
    let get = |d: &Digest| old.parts.get(d).map(|t| t.as_str().into());
    let assemble = median(|_| drop(black_box(Rules::assemble(&old.head, get))));
    let bytes: usize = old.parts.values().map(String::len).sum();
    let new = rendered_with(&rules, 2, "1001");
    let part: usize = new_parts(&old, &new).iter().map(|d| new.parts[d].len()).sum();
    let head = serde_json::to_vec(&new.head).expect("a head serialises").len();

    let versions: Vec<_> =
        (0..RUNS as u64).map(|v| rendered_with(&rules, v + 2, &format!("{}", 1001 + v))).collect();
    let start = median(|_| offer(&mut Config::new(Ordinal(0), false), &old));
    let mut config = Config::new(Ordinal(0), false);
    offer(&mut config, &old);
    let apply = median(|i| offer(&mut config, &versions[i]));
    assert_eq!(config.version(), RUNS as u64 + 1);

    println!(
        "adapters {adapters} upstreams {upstreams} check_ms {check:.1} render_ms {render:.1} \
         assemble_ms {assemble:.1} start_ms {start:.1} apply_ms {apply:.1} values_bytes {bytes} head_bytes {head} \
         change_bytes {} {}",
        head + part,
        memory_of(&[&old, &new]),
    );
}

/// Memory of another process of this program that only applies these versions in turn.
fn memory_of(versions: &[&Rendered]) -> String {
    let dir = env::temp_dir().join(format!("config_figures-{}", std::process::id()));
    fs::create_dir(&dir).expect("the directory is new");
    for (i, r) in versions.iter().enumerate() {
        let text = serde_json::to_vec(&(&r.head, &r.parts)).expect("values serialise");
        fs::write(dir.join(i.to_string()), text).expect("the directory can be written");
    }
    let exe = env::current_exe().expect("the program has a path");
    let run = Command::new(exe).arg(&dir).output().expect("the program runs");
    fs::remove_dir_all(&dir).expect("the directory can be removed");
    String::from_utf8_lossy(&run.stdout).trim().to_owned()
}

fn memory(dir: &Path) {
    let before = resident_kb();
    let mut config = Config::new(Ordinal(0), false);
    let mut used = Vec::new();
    for i in 0..2 {
        let text = fs::read(dir.join(i.to_string())).expect("the file exists");
        let (head, parts) = serde_json::from_slice(&text).expect("the file has the values");
        offer(&mut config, &Rendered { head, parts });
        used.push(resident_kb() - before);
    }
    println!("start_kb {} after_change_kb {}", used[0], used[1]);
}

fn inventory(adapters: usize, upstreams: usize) -> String {
    let mut text = "hosts = 7\nmodels = [\"base-1\", \"base-2\"]\n".to_owned();
    for i in 0..adapters {
        let model = i % 2 + 1;
        text += &format!(
            "[adapters.adapter-{i:05}]\nmodel = \"base-{model}\"\nversions = [\"{}\", \"{}\"]\n",
            100 + i % 7,
            200 + i % 7,
        );
    }
    for i in 0..upstreams {
        text += &format!(
            "[upstreams.engine-{i:05}]\nkind = \"engine\"\naddr = \"10.1.{}.{}:9000\"\n\
             domain = \"domain-{}\"\nmodel = \"base-1\"\nslots = 4\nbatch = 8\nfencing = true\n",
            i / 250,
            i % 250,
            i % 14,
        );
    }
    text
}

fn rendered_with(rules: &Rules, version: u64, adapter: &str) -> Rendered {
    let mut rules = rules.clone();
    let a = rules.adapters.values_mut().next().expect("there are adapters");
    a.versions.push(adapter.into());
    rules.render(version)
}

fn new_parts(old: &Rendered, new: &Rendered) -> Vec<Digest> {
    new.parts.keys().filter(|d| !old.parts.contains_key(*d)).cloned().collect()
}

/// Applies a version and answers its fetches of parts, as the control thread does.
fn offer(config: &mut Config, r: &Rendered) {
    let head: Head = r.head.clone();
    let mut queue = vec![Event::HeadReceived { from: Source::Service, head }];
    while let Some(event) = queue.pop() {
        let mut out = Vec::new();
        config.handle(Tick(0), event, &mut out);
        for effect in out {
            if let Effect::Fetch { from, target: FetchTarget::Part(digest) } = effect {
                let bytes = r.parts[&digest].clone().into_bytes();
                queue.push(Event::PartReceived { from, digest, bytes });
            }
        }
    }
}

/// Median duration of [`RUNS`] runs, in milliseconds.
fn median(mut step: impl FnMut(usize)) -> f64 {
    let mut times: Vec<_> = (0..RUNS)
        .map(|i| {
            let start = Instant::now();
            step(i);
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

/// Resident memory of this process in KiB.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}
