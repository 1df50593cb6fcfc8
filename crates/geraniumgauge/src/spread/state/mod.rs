//! State machine that decides which VMs poll the store, where updates are sent, and
//! how many VMs the fleet has. It does no I/O and reads no clock.
//!
//! Two VMs, the pollers, read the store with linearizable reads and send short
//! updates to the others. A poller sends an update to every VM of its own data
//! centre and to two VMs of each other one. Those two forward it locally, so that a
//! VM fetches missing content from its own data centre. A VM that has received no
//! poll result for a while asks another VM, and then polls the store itself.
//!
//! While the store is unavailable, the pollers report that. Only a few other VMs,
//! chosen at random, retry the store, since it may refuse some VMs and serve
//! others.

mod action;
mod ask;
mod directory;
mod look;
mod rely;
mod tell;

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
use crate::spread::sending;
use crate::store;
use crate::time as clock;

/// Time for which a VM that has just started waits for the directory.
const OPENING: time::Duration = time::Duration::from_millis(100);
/// Time for which a VM that has read the directory waits for the first answer. A VM
/// that is up usually answers sooner; one that is down never answers.
const PEERS: time::Duration = time::Duration::from_millis(15);
/// Poll intervals in which VMs that start for the first time discover each other.
const SETTLE: u32 = 2;

/// Operations in progress.
#[derive(Debug, Default)]
struct Busy {
    /// Start of the poll in progress.
    look: Option<clock::Moment>,
    /// When the last bytes from the store arrived.
    heard: Option<clock::Moment>,
    /// Fetches in progress, by the VM that was asked.
    fetches: collections::BTreeMap<net::SocketAddr, Asked>,
    reading: bool,
    writing: bool,
}

/// A fetch in progress.
#[derive(Debug)]
struct Asked {
    /// Set if only records of VMs were requested.
    brief: bool,
    /// Set if all registrations were requested instead of changes.
    whole: bool,
    at: clock::Moment,
}

/// A fetch that is scheduled.
#[derive(Debug)]
struct Wanted {
    from: net::SocketAddr,
    at: clock::Moment,
}

/// The latest poll whose result is included in what this VM holds.
#[derive(Debug, Clone)]
struct Latest {
    vm: ids::Vm,
    number: u64,
    at: clock::Moment,
}

/// The parts of a published view that show whether a new one differs.
#[derive(Debug)]
struct Shown {
    members: u64,
    vms: Option<usize>,
    at: clock::Moment,
}

/// A received update whose handling is deferred: until its content has been
/// fetched, or until the primary VM of this data centre has had time to forward it.
#[derive(Debug)]
struct Owed {
    update: spread::Update,
    from: net::SocketAddr,
    heard: clock::Moment,
}

/// What one VM knows of the fleet and of the store.
#[derive(Debug)]
pub struct State {
    /// Age of the latest poll at which the next one is due.
    period: time::Duration,
    seeds: Vec<net::SocketAddr>,
    members: spread::Members,
    holds: spread::Holds,
    sure: bool,
    latest: Option<Latest>,
    /// Highest poll number received, by the VM that polled.
    numbers: collections::HashMap<ids::Vm, u64>,
    /// Number of this VM's own last poll.
    number: u64,
    started: clock::Moment,
    busy: Busy,
    rng: rand::rngs::StdRng,

    /// When this VM's own last successful poll ended.
    own_look: Option<clock::Moment>,
    /// When this VM became a poller; `None` if it isn't one.
    duty_since: Option<clock::Moment>,
    /// When a VM that isn't a poller polls the store itself.
    look_at: clock::Moment,
    /// Latest time until which reports that the store is unavailable can postpone
    /// this VM's own poll.
    rely_until: clock::Moment,
    /// Set if this VM has to poll before it accepts content from others.
    must_look: bool,
    /// A newer position that another VM reported, and whether it was verified.
    heard_of: Option<(spread::Holds, bool)>,
    /// Set if the store was last found or reported to be unavailable.
    away: bool,
    /// Set if this VM itself found the store unavailable.
    doubts: bool,
    /// Consecutive failures of this VM's own polls.
    failures: u32,
    /// Delays between a poller's retries after failed polls.
    backoff: store::Backoff,
    /// When this VM next retries an unavailable store.
    try_at: clock::Moment,
    /// Set if this VM has given up the poller role because its polls fail.
    resigned: bool,
    /// Set once the first poll has been scheduled.
    drawn: bool,

    /// Set once a fetch has been answered or has timed out.
    asked: bool,
    /// Set once this VM has sent its record to the pollers.
    greeted: bool,
    /// When another VM is asked next if no poll result is received before then.
    ask_at: clock::Moment,
    /// The next fetch of content that an update mentioned.
    wanted: Option<Wanted>,
    /// When to compare records of VMs with another VM, and its address.
    compare: Option<(clock::Moment, net::SocketAddr)>,
    owed: Option<Owed>,
    /// Admission of the answers that this VM sends.
    sending: sending::Sending,
    /// An update that this VM forwards if the primary VM of its data centre
    /// doesn't.
    second: Option<Owed>,
    /// When this VM sends an update about changes of the fleet.
    tell_at: Option<clock::Moment>,
    told_at: Option<clock::Moment>,

    /// Number of VMs that another VM reported last.
    heard_vms: Option<usize>,
    /// Number of VMs according to the directory, and when that number expires.
    floor: Option<(usize, clock::Moment)>,
    /// Set once the directory has been read.
    listed: bool,
    read_at: clock::Moment,
    /// Hash of the page that this VM last wrote to the directory, and when it was
    /// written.
    written: Option<(u64, clock::Moment)>,
    /// The view that was published last.
    shown: Option<Shown>,
    /// Description of what last changed the known VMs, for the log.
    source: &'static str,
    actions: Vec<Action>,
}

impl State {
    /// Creates the state of a VM that knows no other VM, with a link of the given
    /// bandwidth. `seeds` are addresses that may belong to other VMs; `seed`
    /// initializes the random choices.
    pub fn new(
        own: spread::Member,
        period: time::Duration,
        seeds: Vec<net::SocketAddr>,
        link: rate::BytesPerSecond,
        seed: u64,
        now: clock::Moment,
    ) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.address);
        Self {
            period,
            seeds: seeds.collect(),
            number: own.incarnation.0,
            members: spread::Members::new(own, now),
            holds: spread::Holds::default(),
            sure: false,
            latest: None,
            numbers: collections::HashMap::new(),
            started: now,
            busy: Busy::default(),
            rng: rand::rngs::StdRng::seed_from_u64(seed),
            own_look: None,
            duty_since: None,
            look_at: now + OPENING,
            rely_until: now + period,
            must_look: false,
            heard_of: None,
            away: false,
            doubts: false,
            failures: 0,
            backoff: spread::store::backoff(),
            try_at: now,
            resigned: false,
            drawn: false,
            asked: false,
            greeted: false,
            ask_at: now,
            wanted: None,
            compare: None,
            owed: None,
            sending: sending::Sending::new(link, now),
            second: None,
            tell_at: None,
            told_at: None,
            heard_vms: None,
            floor: None,
            listed: false,
            read_at: now,
            written: None,
            shown: None,
            source: "start",
            actions: Vec::new(),
        }
    }

    /// Performs all work that is due and returns the actions to carry out,
    /// including those that earlier calls queued.
    pub fn tick(&mut self, now: clock::Moment) -> Vec<Action> {
        self.keep_records(now);
        self.pass_second(now);
        self.compare_records(now);
        self.ask_if_due(now);
        self.look_if_due(now);
        self.doubt_if_due(now);
        self.tell_if_due(now);
        self.read_if_due(now);
        self.write_if_due(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Self::tick`] has to be called next.
    pub fn wake_at(&self, now: clock::Moment) -> clock::Moment {
        let second = self.second.as_ref().map(|second| self.second_at(second));
        let idle = self.busy.fetches.is_empty();
        let fetch = Some(self.ask_at).filter(|_| idle);
        let compare = self.compare.filter(|_| idle);
        let wanted = self.wanted.as_ref().map(|wanted| wanted.at);
        let due = [
            self.look_due(now),
            self.doubt_due(now),
            fetch,
            wanted.filter(|at| idle || *at > now),
            second,
            compare.map(|(at, _)| at),
            self.tell_at,
            self.show_due(now),
            self.read_due(now),
            self.write_due(now),
            Some(now + self.period),
        ];
        due.into_iter().flatten().min().unwrap_or(now)
    }

    /// Sets how far this VM has read the store. `verified` is set if its
    /// registrations are equal to what a poll showed.
    pub fn hold(&mut self, holds: spread::Holds, sure: bool, now: clock::Moment) {
        let news = holds.config != self.holds.config;
        self.holds = holds;
        self.sure = sure;
        if news {
            self.sending.renew(now);
            self.offer_news(now);
        }
    }

    /// Returns how far this VM has read the store.
    pub fn holds(&self) -> spread::Holds {
        self.holds
    }

    /// Returns whether this VM's registrations are equal to what a poll showed.
    pub fn is_sure(&self) -> bool {
        self.sure
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
    pub fn lacks(&self, theirs: &spread::Holds, sure: bool) -> bool {
        if theirs.config > self.holds.config {
            return true;
        }
        let differs = theirs.digest != self.holds.digest;
        match (theirs.revision, self.holds.revision) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(theirs), Some(own)) => differs && (theirs > own || theirs == own && sure),
        }
    }

    /// Returns the number of VMs, this one included; `None` while it is unknown.
    pub fn vms(&self, now: clock::Moment) -> Option<usize> {
        let floor = self.floor.filter(|(_, until)| now < *until);
        let floor = floor.map(|(vms, _)| vms);
        let told = if self.is_settled(now) {
            // Ignores the numbers that others report: two VMs that repeat each
            // other's number would keep the count of a fleet that has shrunk.
            Some(floor.unwrap_or_default())
        } else {
            self.heard_vms.max(floor)
        };
        told.map(|told| told.max(self.members.count()))
    }

    /// Returns whether this VM can count the fleet by itself: it is a poller, has
    /// read the directory, and has had time to receive records from VMs that
    /// started with it.
    fn is_settled(&self, now: clock::Moment) -> bool {
        self.duty_since.is_some()
            && self.own_look.is_some()
            && self.listed
            && now.since(self.started) >= self.period * SETTLE
    }

    /// Returns until when a VM that has just started waits for the directory or for
    /// its first answer; `None` if it doesn't wait.
    fn starting_until(&self, now: clock::Moment) -> Option<clock::Moment> {
        let alone = self.members.count() == 1 && self.seeds.is_empty();
        let wait = match self.listed {
            false => OPENING,
            true if alone || self.asked => return None,
            true => PEERS,
        };
        Some(self.started + wait).filter(|until| now < *until)
    }

    fn is_near(&self, member: &spread::Member) -> bool {
        member.data_centre == self.members.own().data_centre
    }

    /// Returns a random other VM, only of this data centre if `local` is set.
    fn any(&mut self, near: bool) -> Option<net::SocketAddr> {
        let own = self.members.own().data_centre.clone();
        let fits = |member: &&spread::Member| !near || member.data_centre == own;
        let members = self.members.others().filter(fits);
        members.choose(&mut self.rng).map(|member| member.address)
    }

    /// Returns a random delay within `range`, which is given in poll intervals.
    fn part(&mut self, parts: std::ops::Range<f64>) -> time::Duration {
        self.period.mul_f64(self.rng.random_range(parts))
    }

    /// Returns a summary of what this VM knows.
    fn summary(&self, now: clock::Moment) -> spread::Summary {
        spread::Summary {
            holds: self.holds,
            sure: self.sure,
            look: self.look(now),
            vms: self.vms(now),
            members: self.members.digest(),
        }
    }
}
