//! What control costs a VM as VMs grow in number: membership alone as tasks of
//! one process, far up, and whole VMs with the store's calls, as far as threads go.

use std::net;
use std::sync;
use std::time;

use geraniumgauge::ids;
use geraniumgauge::member;
use geraniumgauge::metrics;
use geraniumgauge::store;
use geraniumgauge::time::Clock;
use geraniumgauge::timer;
use tokio::sync::broadcast;
use tokio_util::sync::CancellationToken;

use crate::measure;
use crate::measure::outcome;
use crate::measure::usage;
use crate::measure::vm_loss;
use crate::site;

/// The scenario.
pub(super) const SCENARIO: measure::Scenario = measure::Scenario {
    name: "control",
    about: "processor time, memory, bytes and store calls of control a VM, by the number of VMs",
    baseline: None,
    run: |context| Box::pin(run(context)),
};

/// Everyone becomes a member.
const JOINED: &str = "every VM becomes a member";
/// Accepted configuration is in force everywhere.
const SPREAD: &str = "news reaches every VM";

const MEMBERS: [usize; 4] = [8, 32, 128, 512];
/// The largest first: memory that one run returns is used again by the next.
const WHOLE: [usize; 3] = [32, 16, 8];
const WINDOW: time::Duration = time::Duration::from_secs(3);
const RUNS: usize = 3;
/// Longest wait; only what never comes is a violation.
const PATIENCE: time::Duration = time::Duration::from_secs(90);

async fn run(_: measure::Context) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    for count in WHOLE {
        out.absorb(&format!("vms_{count}_"), whole(count).await?);
    }
    for count in MEMBERS {
        out.absorb(&format!("members_{count}_"), members(count).await?);
    }
    Ok(out)
}

/// One member without the other duties.
struct Member {
    service: member::Service,
    metrics: metrics::Metrics,
    rumours: broadcast::Receiver<member::Update>,
    address: net::SocketAddr,
    stop: CancellationToken,
}

async fn members(count: usize) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    let before = usage::memory();
    let mut all = Vec::new();
    let start = tokio::time::Instant::now();
    for number in 0..count {
        let seeds = all.first().map(|first: &Member| first.address);
        all.push(member(number, seeds).await?);
    }
    if !joined(&all, count).await {
        out.violate(JOINED, "-", format!("{count} members, after {PATIENCE:?}"));
    }
    out.figure("joined_ms", start.elapsed().as_secs_f64() * 1e3);
    out.figure("settled_ms", settled(&all).await.as_secs_f64() * 1e3);
    quiet(&all, &mut out).await;
    out.figure(
        "memory_kib",
        (usage::memory() - before) / 1024.0 / count as f64,
    );
    change(&mut all, &mut out).await;
    loss(&mut all, &mut out).await;
    for member in all {
        member.stop.cancel();
    }
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    Ok(out)
}

async fn member(number: usize, seed: Option<net::SocketAddr>) -> Result<Member, measure::Error> {
    let other = |what: String| measure::Error::Other { what };
    let named = |text: String| text.parse().map_err(|e: ids::Error| other(e.to_string()));
    let any = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let socket = tokio::net::UdpSocket::bind(any).await;
    let socket = socket.map_err(|error| other(error.to_string()))?;
    let address = socket
        .local_addr()
        .map_err(|error| other(error.to_string()))?;
    let data_centre = site::data_centre(number, 4);
    let vm = named(format!("vm-{number}"))?;
    let mut config = member::Config::new(vm, ids::Incarnation(1), data_centre, address, socket);
    config.seeds.extend(seed);
    let stop = CancellationToken::new();
    let metrics = metrics::Metrics::new().map_err(|error| other(error.to_string()))?;
    let service = member::Service::start(
        config,
        sync::Arc::new(store::Fake::new()),
        Clock::start(),
        timer::Service::new(stop.clone()),
        &metrics.meter(),
    );
    Ok(Member {
        rumours: service.updates(),
        service,
        metrics,
        address,
        stop,
    })
}

async fn joined(all: &[Member], count: usize) -> bool {
    let waiting = all.iter().map(|member| {
        let mut view = member.service.view();
        async move {
            view.wait_for(|view| view.members.len() == count)
                .await
                .is_ok()
        }
    });
    let waiting = futures_util::future::join_all(waiting);
    let seen = tokio::time::timeout(PATIENCE, waiting).await;
    seen.is_ok_and(|seen| seen.iter().all(|seen| *seen))
}

/// Waits until no news of the joining is left to be told.
async fn settled(all: &[Member]) -> time::Duration {
    let start = tokio::time::Instant::now();
    while sum(all, "member_news_queued") > 0.0 && start.elapsed() < PATIENCE {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
    start.elapsed()
}

fn sent(all: &[Member]) -> f64 {
    sum(all, "member_bytes_sent")
}

fn sum(all: &[Member], name: &str) -> f64 {
    let texts = all.iter().filter_map(|member| member.metrics.text().ok());
    let figures = texts.filter_map(|text| {
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit_once(' ')?.1.parse::<f64>().ok()
    });
    figures.sum()
}

/// Nothing changes: probes and comparisons alone.
async fn quiet(all: &[Member], out: &mut outcome::Outcome) {
    let (mut processor, mut bytes) = (Vec::new(), Vec::new());
    for _ in 0..RUNS {
        let (spent, told) = (usage::processor(""), sent(all));
        tokio::time::sleep(WINDOW).await;
        let each = all.len() as f64 * WINDOW.as_secs_f64();
        processor.push(usage::processor_since("", spent).as_secs_f64() * 100.0 / each);
        bytes.push((sent(all) - told) / each);
    }
    usage::Spread::of(processor).figure("quiet_core_percent", out);
    usage::Spread::of(bytes).figure("quiet_sent_bytes_per_s", out);
}

/// A document is accepted: one rumour to all.
async fn change(all: &mut [Member], out: &mut outcome::Outcome) {
    let (mut took, mut bytes, mut processor) = (Vec::new(), Vec::new(), Vec::new());
    for version in 1..=RUNS as u64 {
        let (spent, told) = (usage::processor(""), sent(all));
        let start = tokio::time::Instant::now();
        all[0]
            .service
            .publish(rumour(member::Topic::Catalog, "wide", version));
        let heard = all.iter_mut().map(|member| heard(member, version));
        let heard = futures_util::future::join_all(heard);
        if tokio::time::timeout(PATIENCE, heard).await.is_err() {
            out.violate(SPREAD, "-", format!("version {version} after {PATIENCE:?}"));
        }
        took.push(start.elapsed().as_secs_f64() * 1e3);
        tokio::time::sleep(WINDOW).await;
        let each = all.len() as f64;
        bytes.push((sent(all) - told) / each);
        processor.push(usage::processor_since("", spent).as_secs_f64() * 1e3 / each);
    }
    usage::Spread::of(took).figure("change_heard_ms", out);
    // With what is sent in a quiet time of the same length.
    usage::Spread::of(bytes).figure("change_sent_bytes", out);
    usage::Spread::of(processor).figure("change_processor_ms", out);
}

fn rumour(topic: member::Topic, key: &str, version: u64) -> member::Update {
    member::Update {
        topic,
        key: key.to_owned(),
        version,
        body: bytes::Bytes::from_static(&[0; 16]),
    }
}

async fn heard(member: &mut Member, version: u64) {
    loop {
        match member.rumours.recv().await {
            Ok(heard) if heard.topic == member::Topic::Catalog && heard.version == version => break,
            Ok(_) | Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}

/// A quarter of the members die at once, as with a data centre.
async fn loss(all: &mut Vec<Member>, out: &mut outcome::Outcome) {
    for dead in all.split_off(all.len() * 3 / 4) {
        dead.stop.cancel();
    }
    let told = sent(all);
    let start = tokio::time::Instant::now();
    if !joined(all, all.len()).await {
        out.violate(vm_loss::REMOVED, "-", format!("after {PATIENCE:?}"));
    }
    let took = start.elapsed().as_secs_f64();
    out.figure("quarter_lost_ms", took * 1e3);
    let each = (sent(all) - told) / all.len() as f64 / took;
    out.figure("quarter_lost_sent_bytes_per_s", each);
}

/// Whole VMs without load: what all duties spend, and the store's calls.
async fn whole(count: usize) -> Result<outcome::Outcome, measure::Error> {
    let mut out = outcome::Outcome::default();
    let before = usage::memory();
    let mut config = site::Config::new(vec![site::Spec::small("wide", 8)]);
    config.vms = count;
    let site = site::Site::start(config).await?;
    tokio::time::sleep(WINDOW).await;
    out.figure(
        "memory_kib",
        (usage::memory() - before) / 1024.0 / count as f64,
    );
    let (mut processor, mut calls) = (Vec::new(), vec![Vec::new(); 5]);
    for _ in 0..RUNS {
        let (spent, counts) = (usage::processor("vm-"), site.platform.state().counts());
        tokio::time::sleep(WINDOW).await;
        let each = count as f64 * WINDOW.as_secs_f64();
        processor.push(usage::processor_since("vm-", spent).as_secs_f64() * 100.0 / each);
        let now = site.platform.state().counts();
        let kinds = [
            now.get - counts.get,
            now.put - counts.put,
            now.list - counts.list,
            now.watch - counts.watch,
            now.vms - counts.vms,
        ];
        for (kind, made) in calls.iter_mut().zip(kinds) {
            kind.push(made as f64 / each);
        }
    }
    usage::Spread::of(processor).figure("quiet_core_percent", &mut out);
    let names = ["get", "put", "list", "watch", "vms"];
    for (name, made) in names.iter().zip(calls) {
        usage::Spread::of(made).figure(&format!("store_{name}_per_s"), &mut out);
    }
    Ok(out)
}
