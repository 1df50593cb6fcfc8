//! State machine that decides which VMs poll the store, where updates are sent, and
//! how many VMs the fleet has. It does no I/O and reads no clock.
//!
//! Two VMs, the pollers, read the store with linearizable reads and send short
//! updates to the others. A poller sends an update to every VM of its own data
//! centre and to two VMs of each other one. Those two forward it locally, so that a
//! VM fetches missing content from its own data centre. A VM that has received no
//! poll result for a while asks another VM.
//!
//! The store may refuse some VMs and serve others, so each VM polls it itself once the
//! latest successful poll of any VM has reached an age that depends on the VM's place in
//! the ranking. The VMs thus poll one after another until the store serves one of them,
//! which updates the others; each has polled before a change must be in force. A VM
//! whose poll has failed then retries in turn with the others, until some VM succeeds.

mod action;
mod broadcast;
mod directory;
mod fetch;
mod poll;
mod reliance;

pub use action::Action;
pub use action::View;
pub use directory::Directory;

use std::collections;
use std::net;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IteratorRandom as _;

use crate::ids;
use crate::rate;
use crate::spread;
use crate::spread::admission;
use crate::store;
use crate::time as clock;

/// Time for which a VM that has just started waits for the directory.
const DIRECTORY_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Time for which a VM that has read the directory waits for the first answer. A VM
/// that is up usually answers sooner; one that is down never answers.
const FIRST_ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(15);
/// Poll intervals in which VMs that start for the first time discover each other.
const SETTLE_TIME_POLLS: u32 = 2;

/// Operations in progress.
#[derive(Debug, Default)]
struct Pending {
    /// Start of the poll in progress.
    poll: Option<clock::Moment>,
    /// When the last bytes from the store arrived.
    received: Option<clock::Moment>,
    /// Fetches in progress, by the VM that was asked.
    fetches: collections::BTreeMap<net::SocketAddr, RunningFetch>,
    /// Set while the directory is being read.
    reading: bool,
    /// Set while a page of the directory is being written.
    writing: bool,
}

/// A fetch in progress.
#[derive(Debug)]
struct RunningFetch {
    /// Set if only records of VMs were requested.
    members_only: bool,
    /// Set if all registrations were requested instead of changes.
    full: bool,
    at: clock::Moment,
}

/// A fetch that is scheduled.
#[derive(Debug)]
struct ScheduledFetch {
    from: net::SocketAddr,
    at: clock::Moment,
}

/// The latest poll whose result is included in what this VM holds.
#[derive(Debug, Clone)]
struct LatestPoll {
    vm: ids::Vm,
    number: u64,
    at: clock::Moment,
}

/// The parts of a published view that show whether a new one differs.
#[derive(Debug)]
struct PublishedView {
    members: u64,
    vms: Option<usize>,
    at: clock::Moment,
}

/// A received update whose handling is deferred: until its content has been
/// fetched, or until the primary VM of this data centre has had time to forward it.
#[derive(Debug)]
struct Deferred {
    update: spread::Update,
    from: net::SocketAddr,
    received: clock::Moment,
}

/// What one VM knows of the fleet and of the store.
#[derive(Debug)]
pub struct State {
    /// Age of the latest poll at which the next one is due.
    poll_interval: time::Duration,
    seeds: Vec<net::SocketAddr>,
    members: spread::Members,
    position: spread::Position,
    verified: bool,
    latest: Option<LatestPoll>,
    /// Highest poll number received, by the VM that polled.
    poll_numbers: collections::HashMap<ids::Vm, u64>,
    /// Number of this VM's own last poll.
    poll_number: u64,
    started: clock::Moment,
    pending: Pending,
    rng: rand::rngs::StdRng,

    /// When this VM's own last successful poll ended.
    own_poll: Option<clock::Moment>,
    /// When this VM's own last poll began, successful or not.
    own_poll_began: Option<clock::Moment>,
    /// When this VM became a poller; `None` if it isn't one.
    poller_since: Option<clock::Moment>,
    /// When a VM that isn't a poller polls the store itself.
    poll_at: clock::Moment,
    /// Set if this VM's next poll doesn't wait for an answer of another VM.
    must_poll: bool,
    /// A newer position that another VM reported, and whether it was verified.
    newer_position: Option<(spread::Position, bool)>,
    /// Set if the store was last found or reported to be unavailable.
    unavailable: bool,
    /// Set if this VM itself has found the store unavailable since the latest poll.
    found_unavailable: bool,
    /// Consecutive failures of this VM's own polls.
    failures: u32,
    /// Delays between a poller's retries after failed polls.
    backoff: store::Backoff,
    /// When this VM next retries an unavailable store.
    retry_at: clock::Moment,
    /// Set if this VM has given up the poller role because its polls fail.
    stepped_down: bool,
    /// Set once the first poll has been scheduled.
    first_poll_scheduled: bool,

    /// Set once a fetch has been answered or has timed out.
    fetch_ended: bool,
    /// Set once this VM has sent its record to the pollers.
    announced: bool,
    /// When another VM is asked next if no poll result is received before then.
    fetch_at: clock::Moment,
    /// The next fetch of content that an update mentioned.
    scheduled_fetch: Option<ScheduledFetch>,
    /// When to compare records of VMs with another VM, and its address.
    comparison: Option<(clock::Moment, net::SocketAddr)>,
    deferred: Option<Deferred>,
    /// Admission of the answers that this VM sends.
    answers: admission::Admission,
    /// An update that this VM forwards if the primary VM of its data centre
    /// doesn't.
    backup: Option<Deferred>,
    /// When this VM sends an update about changes of the fleet.
    broadcast_at: Option<clock::Moment>,
    last_broadcast: Option<clock::Moment>,

    /// Number of VMs that another VM reported last.
    reported_vms: Option<usize>,
    /// Number of VMs according to the directory, and when that number expires.
    directory_vms: Option<(usize, clock::Moment)>,
    /// Set once the directory has been read.
    has_directory: bool,
    read_directory_at: clock::Moment,
    /// Hash of the page that this VM last wrote to the directory, and when it was
    /// written.
    written_page: Option<(u64, clock::Moment)>,
    /// The view that was published last.
    published: Option<PublishedView>,
    /// Description of what last changed the known VMs, for the log.
    source: &'static str,
    actions: Vec<Action>,
}

impl State {
    /// Creates the state of a VM that knows no other VM, with the given outgoing
    /// bandwidth. `seeds` are addresses that may belong to other VMs; `seed`
    /// initializes the random choices.
    pub fn new(
        own: spread::Member,
        poll_interval: time::Duration,
        seeds: Vec<net::SocketAddr>,
        bandwidth: rate::BytesPerSecond,
        seed: u64,
        now: clock::Moment,
    ) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.address);
        Self {
            poll_interval,
            seeds: seeds.collect(),
            poll_number: own.incarnation.0,
            members: spread::Members::new(own, now),
            position: spread::Position::default(),
            verified: false,
            latest: None,
            poll_numbers: collections::HashMap::new(),
            started: now,
            pending: Pending::default(),
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            own_poll: None,
            own_poll_began: None,
            poller_since: None,
            poll_at: now + DIRECTORY_TIMEOUT,
            must_poll: false,
            newer_position: None,
            unavailable: false,
            found_unavailable: false,
            failures: 0,
            backoff: spread::store::backoff(),
            retry_at: now,
            stepped_down: false,
            first_poll_scheduled: false,
            fetch_ended: false,
            announced: false,
            fetch_at: now,
            scheduled_fetch: None,
            comparison: None,
            deferred: None,
            answers: admission::Admission::new(bandwidth, now),
            backup: None,
            broadcast_at: None,
            last_broadcast: None,
            reported_vms: None,
            directory_vms: None,
            has_directory: false,
            read_directory_at: now,
            written_page: None,
            published: None,
            source: "start",
            actions: Vec::new(),
        }
    }

    /// Performs all work that is due and returns the actions to carry out,
    /// including those that earlier calls queued.
    pub fn tick(&mut self, now: clock::Moment) -> Vec<Action> {
        self.maintain_records(now);
        self.forward_as_backup(now);
        self.compare_records(now);
        self.fetch_if_due(now);
        self.poll_if_due(now);
        self.report_slow_poll(now);
        self.broadcast_if_due(now);
        self.read_directory_if_due(now);
        self.write_directory_if_due(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Self::tick`] has to be called next.
    pub fn wake_at(&self, now: clock::Moment) -> clock::Moment {
        let backup = self.backup.as_ref().map(|backup| self.backup_at(backup));
        let idle = self.pending.fetches.is_empty();
        let fetch = Some(self.fetch_at).filter(|_| idle);
        let comparison = self.comparison.filter(|_| idle);
        let scheduled_fetch = self.scheduled_fetch.as_ref().map(|fetch| fetch.at);
        let due = [
            self.poll_due(now),
            self.slow_poll_due(now),
            fetch,
            scheduled_fetch.filter(|at| idle || *at > now),
            backup,
            comparison.map(|(at, _)| at),
            self.broadcast_at,
            self.publish_due(now),
            self.directory_read_due(now),
            self.directory_write_due(now),
            Some(now + self.poll_interval),
        ];
        due.into_iter().flatten().min().unwrap_or(now)
    }

    /// Sets how far this VM has read the store. `verified` is set if its
    /// registrations are equal to what a poll showed.
    pub fn set_position(&mut self, position: spread::Position, verified: bool, now: clock::Moment) {
        let changed = position.config != self.position.config;
        self.position = position;
        self.verified = verified;
        if changed {
            self.answers.content_changed(now);
            self.offer_config(now);
        }
    }

    /// Returns how far this VM has read the store.
    pub fn position(&self) -> spread::Position {
        self.position
    }

    /// Returns whether this VM's registrations are equal to what a poll showed.
    pub fn is_verified(&self) -> bool {
        self.verified
    }

    /// Returns the known VMs.
    pub fn members(&self) -> &spread::Members {
        &self.members
    }

    /// Returns the age of the latest poll whose result this VM holds; `None` before
    /// the first one.
    pub fn age(&self, now: clock::Moment) -> Option<time::Duration> {
        self.latest.as_ref().map(|latest| now.since(latest.at))
    }

    /// Returns whether another VM's position shows registrations or a configuration
    /// that this VM lacks.
    pub fn lacks(&self, theirs: &spread::Position, verified: bool) -> bool {
        if theirs.config > self.position.config {
            return true;
        }
        let differs = theirs.digest != self.position.digest;
        match (theirs.revision, self.position.revision) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(theirs), Some(own)) => differs && (theirs > own || theirs == own && verified),
        }
    }

    /// Returns the number of VMs, this one included; `None` while it is unknown.
    pub fn vms(&self, now: clock::Moment) -> Option<usize> {
        let directory_vms = self.directory_vms.filter(|(_, until)| now < *until);
        let directory_vms = directory_vms.map(|(vms, _)| vms);
        let reported = if self.can_count_vms(now) {
            // Ignores the numbers that others report: two VMs that repeat each
            // other's number would keep the count of a fleet that has shrunk.
            Some(directory_vms.unwrap_or_default())
        } else {
            self.reported_vms.max(directory_vms)
        };
        reported.map(|reported| reported.max(self.members.count()))
    }

    /// Returns whether this VM can count the fleet by itself: it is a poller, has
    /// read the directory, and has had time to receive records from VMs that
    /// started with it.
    fn can_count_vms(&self, now: clock::Moment) -> bool {
        self.poller_since.is_some()
            && self.own_poll.is_some()
            && self.has_directory
            && now.since(self.started) >= self.poll_interval * SETTLE_TIME_POLLS
    }

    /// Returns until when a VM that has just started waits for the directory or for
    /// its first answer; `None` if it doesn't wait.
    fn starting_until(&self, now: clock::Moment) -> Option<clock::Moment> {
        let alone = self.members.count() == 1 && self.seeds.is_empty();
        let timeout = match self.has_directory {
            false => DIRECTORY_TIMEOUT,
            true if alone || self.fetch_ended => return None,
            true => FIRST_ANSWER_TIMEOUT,
        };
        Some(self.started + timeout).filter(|until| now < *until)
    }

    fn is_local(&self, member: &spread::Member) -> bool {
        member.data_centre == self.members.own().data_centre
    }

    /// Returns a random other VM, only of this data centre if `local` is set.
    fn random_vm(&mut self, local: bool) -> Option<net::SocketAddr> {
        let own = self.members.own().data_centre.clone();
        let fits = |member: &&spread::Member| !local || member.data_centre == own;
        let members = self.members.others().filter(fits);
        members.choose(&mut self.rng).map(|member| member.address)
    }

    /// Returns a random delay within `range`, which is given in poll intervals.
    fn random_delay(&mut self, range: std::ops::Range<f64>) -> time::Duration {
        self.poll_interval.mul_f64(self.rng.random_range(range))
    }

    /// Returns a summary of what this VM knows.
    fn summary(&self, now: clock::Moment) -> spread::Summary {
        spread::Summary {
            position: self.position,
            verified: self.verified,
            poll: self.poll(now),
            vms: self.vms(now),
            members: self.members.digest(),
        }
    }
}
