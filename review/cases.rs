//! The cases. Each returns whether its rule held.

use std::collections::HashMap;
use std::io;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Behaviour, End, Reader, Replica, Vm, World, answer, config, read_answer, route, send};

pub fn run(case: &str, world: &World) -> io::Result<bool> {
    match case {
        "twice" => twice(world),
        "stray" => stray(world),
        "stop" => stop(world),
        _ => Err(io::Error::other("no such case")),
    }
}

/// The service of the registrations, the number of its replicas and their zone.
const SERVICE: &str = "label-print";
const REPLICAS: usize = 5;
const ZONE: &str = "akl-a";
/// The deadline of a registration, which is also its route's timeout.
const DEADLINE_MS: u64 = 4000;
/// Registrations a second.
const RATE: f64 = 22.5;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Starts the replicas and writes them and the configuration to the store.
fn start_service(
    world: &World,
    behaviour: impl Fn(usize) -> Behaviour,
) -> io::Result<Vec<Replica>> {
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let replica = Replica::start(
            &format!("i-{number}"),
            SERVICE,
            &world.record,
            behaviour(number),
        )?;
        replica.register(&world.store, ZONE);
        replicas.push(replica);
    }
    let routes = [route(
        "labels",
        "/labels/",
        "non_idempotent",
        SERVICE,
        DEADLINE_MS,
    )];
    world
        .store
        .put("config", "main", &config(1, &routes, &[SERVICE]));
    Ok(replicas)
}

/// Starts VMs and waits until they are ready.
fn start_vms(world: &World, count: usize) -> io::Result<Vec<Vm>> {
    let mut vms = Vm::prepare(count, &world.store, &world.folder, &world.record)?;
    for vm in &mut vms {
        vm.start()?;
    }
    for vm in &vms {
        vm.wait_ready(ms(15_000))?;
    }
    Ok(vms)
}

/// Runs a registration for some time and answers it.
fn register_label(
    time: Duration,
    request: &crate::Message,
    reader: &mut Reader,
    replica: &Replica,
) -> bool {
    replica.run(request);
    thread::sleep(time);
    replica.reply(request, reader, b"label")
}

/// Clients that send registrations to the VMs in turn, each over a connection of its own.
struct Clients {
    ends: Arc<Mutex<Vec<(Instant, End)>>>,
    running: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn new() -> Self {
        Self {
            ends: Arc::default(),
            running: Vec::new(),
        }
    }

    /// Sends registrations for `time`.
    fn send_for(&mut self, world: &World, vms: &[SocketAddr], name: &str, time: Duration) {
        let start = Instant::now();
        for number in 0.. {
            let at = start + Duration::from_secs_f64(number as f64 / RATE);
            if at >= start + time {
                return;
            }
            wait_until(at);
            let (record, ends) = (world.record.clone(), self.ends.clone());
            let (vm, id) = (vms[number % vms.len()], format!("{name}-{number}"));
            self.running.push(thread::spawn(move || {
                record.note(format!("client sends registration {id} to {vm}"));
                let end = send(vm, "POST", "/labels/new", &id, DEADLINE_MS, b"label=1");
                record.note(format!("registration {id}: {end}"));
                ends.lock().unwrap().push((at, end));
            }));
        }
    }

    /// Waits for the answers and returns them with the times at which the requests were sent.
    fn wait(self) -> Vec<(Instant, End)> {
        for client in self.running {
            let _ = client.join();
        }
        let ends = self.ends.lock().unwrap();
        ends.clone()
    }
}

/// The share of the replicas and of their answers, the length, and how often: as in the site
/// file for `garble`, `extra late`.
const GARBLED_SHARE: f64 = 0.6;
const GARBLED_EVERY: usize = 33;
const GARBLED_TIME: Duration = Duration::from_secs(5);
const GARBLED_TIMES: usize = 3;

/// TWICE: faulty replicas send additional bytes after one of 33 answers, late, at the point
/// where the next response is expected. The bytes look like a refusal, but bear no request id,
/// which all responses of these replicas echo.
fn twice(world: &World) -> io::Result<bool> {
    let garbling = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicUsize::new(0));
    let replicas = start_service(world, |number| {
        let faulty = (number as f64) < GARBLED_SHARE * REPLICAS as f64;
        let (garbling, answers) = (garbling.clone(), answers.clone());
        // Connections, by their clients' addresses, on which additional bytes are due.
        let due: Mutex<HashMap<SocketAddr, ()>> = Mutex::default();
        Arc::new(move |request, reader, replica| {
            let Ok(peer) = reader.stream.peer_addr() else {
                return false;
            };
            if due.lock().unwrap().remove(&peer).is_some() {
                replica.record.note(format!(
                    "replica {} sends additional bytes, which belong to no request",
                    replica.id
                ));
                let refusal = answer(503, "X-Not-Run: 1\r\n", b"");
                if reader.stream.write_all(&refusal).is_err() {
                    return false;
                }
            }
            let open = register_label(ms(60 + 15 * number as u64), request, reader, replica);
            if faulty
                && garbling.load(Ordering::SeqCst)
                && answers.fetch_add(1, Ordering::SeqCst) % GARBLED_EVERY == GARBLED_EVERY - 1
            {
                due.lock().unwrap().insert(peer, ());
            }
            open
        })
    })?;
    let vms = start_vms(world, 2)?;
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    thread::sleep(ms(5000));
    let mut clients = Clients::new();
    for time in 0..GARBLED_TIMES {
        garbling.store(world.trouble, Ordering::SeqCst);
        clients.send_for(world, &callers, &format!("g{time}"), GARBLED_TIME);
        garbling.store(false, Ordering::SeqCst);
        clients.send_for(world, &callers, &format!("s{time}"), ms(4000));
    }
    clients.wait();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for replica in &replicas {
        for id in replica.runs.lock().unwrap().iter() {
            *runs.entry(id.clone()).or_default() += 1;
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    for (id, count) in runs.iter().filter(|(_, count)| **count > 1) {
        world
            .record
            .note(format!("registration {id} has run {count} times"));
    }
    world.record.note(format!(
        "{} registrations have run, {twice} of them more than once",
        runs.len()
    ));
    Ok(twice == 0)
}

/// RECOVER: another writer's entries, which name no replica to use, lie in the store for some
/// seconds around the start of all VMs.
fn stray(world: &World) -> io::Result<bool> {
    let replicas = start_service(world, |number| {
        Arc::new(move |request, reader, replica| {
            register_label(ms(60 + 15 * number as u64), request, reader, replica)
        })
    })?;
    let mut vms = start_vms(world, 3)?;
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    let mut clients = Clients::new();
    clients.send_for(world, &callers, "before", ms(15_000));
    // The final fault: all processes are killed and start again.
    let fault = Instant::now();
    for vm in &mut vms {
        vm.signal("KILL");
        vm.wait_end(ms(2000));
    }
    if world.trouble {
        for (number, replica) in replicas.iter().enumerate() {
            let entry = replica.entry(ZONE);
            let stray = match number % 3 {
                // A field is missing.
                0 => entry.replace("\"version\":\"v1\",", ""),
                // A field is of another type.
                1 => entry.replace("\"version\":\"v1\"", "\"version\":[1]"),
                // A service that no configuration names.
                _ => entry.replace(SERVICE, "host-monitor"),
            };
            world.record.note(format!(
                "another writer creates servers/agent-{number}: {stray}"
            ));
            world
                .store
                .put("servers", &format!("agent-{number}"), &stray);
        }
    }
    thread::sleep(ms(1000));
    for vm in &mut vms {
        vm.start()?;
    }
    let back = Instant::now();
    thread::sleep(ms(4000));
    if world.trouble {
        for number in 0..replicas.len() {
            world
                .record
                .note(format!("another writer deletes servers/agent-{number}"));
            world.store.remove("servers", &format!("agent-{number}"));
        }
    }
    for vm in &vms {
        vm.wait_ready(ms(8000))?;
    }
    clients.send_for(world, &callers, "after", ms(40_000));
    let ends = clients.wait();
    let share = |from: Instant, to: Instant| {
        let sent = ends.iter().filter(|(at, _)| from <= *at && *at < to);
        let served = sent.clone().filter(|(_, end)| end.status() == 200).count();
        let sent = sent.count();
        (served, sent, served as f64 / sent.max(1) as f64)
    };
    let recovery = Duration::from_secs(12);
    let before = share(fault - ms(60_000), fault);
    let after = share(back + recovery, back + ms(600_000));
    world.record.note(format!(
        "served before the final fault: {} of {}",
        before.0, before.1
    ));
    world.record.note(format!(
        "served of those sent later than 12 s after the VMs are back: {} of {}",
        after.0, after.1
    ));
    Ok(!(before.2 >= 0.25 && after.2 < 0.25))
}

/// LOST: a VM gets SIGTERM while clients send longer bodies, each within the limits. The last
/// bytes come 4.65 to 4.85 s after the signal; the grace period is 6 s.
fn stop(world: &World) -> io::Result<bool> {
    let replicas = start_service(world, |_| {
        Arc::new(move |request, reader, replica| register_label(ms(400), request, reader, replica))
    })?;
    let mut vms = start_vms(world, 2)?;
    let vm = vms[0].callers;
    thread::sleep(ms(6000));
    let start = Instant::now();
    if world.trouble {
        vms[0].signal("TERM");
    }
    let clients: Vec<_> = (0..5)
        .map(|number| {
            let record = world.record.clone();
            let first = start + ms(2200 + 50 * number);
            let id = format!("label-{number}");
            thread::spawn(move || -> io::Result<(String, End)> {
                wait_until(first);
                let mut stream = TcpStream::connect(vm)?;
                stream.set_nodelay(true)?;
                record.note(format!("client begins to send registration {id} to {vm}"));
                let head = format!(
                    "POST /labels/new HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: {id}\r\n\
                     X-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2000\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                for piece in 0..20 {
                    wait_until(first + ms(2450) * (piece + 1) / 20);
                    stream.write_all(&[b'a'; 100])?;
                }
                record.note(format!(
                    "client has sent the last byte of registration {id}"
                ));
                let end = read_answer(&mut Reader::new(stream), ms(DEADLINE_MS));
                record.note(format!("registration {id}: {end}"));
                Ok((id, end))
            })
        })
        .collect();
    if world.trouble {
        vms[0].wait_end(ms(8000));
    }
    let mut lost = 0;
    for client in clients {
        let (id, end) = client
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
        let passed_on = replicas.iter().any(|replica| replica.ran(&id));
        if passed_on && matches!(end, End::Cut(_)) {
            lost += 1;
        }
    }
    world.record.note(format!(
        "{lost} of 5 registrations were passed on to a replica and got no answer"
    ));
    Ok(lost == 0)
}
