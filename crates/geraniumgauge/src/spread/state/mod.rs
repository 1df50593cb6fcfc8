//! Who reads the store, who tells whom, and how many VMs there are: decisions
//! without I/O or clock.
//!
//! Two VMs look at the store by linearizable reads and tell the others by short
//! updates. An update goes to each VM of the teller's data centre and to two of each
//! other one, which pass it on there, so that a data centre's own VMs fetch what
//! they lack from beside them. Silence decides who looks: a VM that has heard
//! of no look for a while asks another VM, and then looks for itself.
//!
//! While the store is away, those who look for all say so; the others don't
//! knock but for a few by chance, as the store may turn away some VMs only.

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

/// How long a VM that has just started waits for the directory.
const OPENING: time::Duration = time::Duration::from_millis(100);
/// How long it waits for another VM's answer, where it has the directory: one
/// that is up mostly answers sooner, and one without power never.
const PEERS: time::Duration = time::Duration::from_millis(15);
/// Look periods in which VMs that start for the first time find each other.
const SETTLE: u32 = 2;

/// What is under way.
#[derive(Debug, Default)]
struct Busy {
    /// Since when this VM looks.
    look: Option<clock::Moment>,
    /// When the store was heard of last meanwhile.
    heard: Option<clock::Moment>,
    /// The VMs that are asked.
    fetches: collections::BTreeMap<net::SocketAddr, Asked>,
    reading: bool,
    writing: bool,
}

/// A question to another VM.
#[derive(Debug)]
struct Asked {
    /// Whether for the VMs alone.
    brief: bool,
    /// Whether for all registrations.
    whole: bool,
    at: clock::Moment,
}

/// A question that is due.
#[derive(Debug)]
struct Wanted {
    from: net::SocketAddr,
    at: clock::Moment,
}

/// The latest look that what this VM holds includes.
#[derive(Debug, Clone)]
struct Latest {
    vm: ids::Vm,
    number: u64,
    at: clock::Moment,
}

/// A view as it was shown.
#[derive(Debug)]
struct Shown {
    members: u64,
    vms: Option<usize>,
    at: clock::Moment,
}

/// An update to be passed on, once this VM has what it tells of.
#[derive(Debug)]
struct Owed {
    update: spread::Update,
    from: net::SocketAddr,
    heard: clock::Moment,
}

/// What one VM knows of the fleet, and how fresh what it holds of the store is.
#[derive(Debug)]
pub struct State {
    /// How old a look may be before the next one is due.
    period: time::Duration,
    seeds: Vec<net::SocketAddr>,
    members: spread::Members,
    holds: spread::Holds,
    sure: bool,
    latest: Option<Latest>,
    /// The highest number of the looks that were taken, by VM.
    numbers: collections::HashMap<ids::Vm, u64>,
    /// The number of this VM's own last look.
    number: u64,
    started: clock::Moment,
    busy: Busy,
    rng: rand::rngs::StdRng,

    /// This VM's own last look that succeeded.
    own_look: Option<clock::Moment>,
    /// Since when this VM reads the store for all.
    duty_since: Option<clock::Moment>,
    /// When a VM that doesn't read for all looks for itself.
    look_at: clock::Moment,
    /// Until when it may leave that to others at most, whatever they say.
    rely_until: clock::Moment,
    /// Whether it must look before it relies on others.
    must_look: bool,
    /// What others hold that this VM lacked, and whether they are sure of it.
    heard_of: Option<(spread::Holds, bool)>,
    /// Whether the store was last found or said to be away.
    away: bool,
    /// Whether this VM itself found it so.
    doubts: bool,
    /// Own looks that failed in a row.
    failures: u32,
    /// The pauses after them, while this VM looks for all.
    backoff: store::Backoff,
    /// When this VM tries a store that is away.
    try_at: clock::Moment,
    /// Whether it has left its duty to others, as its looks fail.
    resigned: bool,
    /// Whether the first look was drawn.
    drawn: bool,

    /// Whether a question was answered, or not in time.
    asked: bool,
    /// Whether those that read the store were told of this VM.
    greeted: bool,
    /// When another VM is asked next, where nothing is heard until then.
    ask_at: clock::Moment,
    /// Whom to ask for what an update told of.
    wanted: Option<Wanted>,
    /// When VMs' records are compared with another VM, and which.
    compare: Option<(clock::Moment, net::SocketAddr)>,
    owed: Option<Owed>,
    /// What is being told to those that ask.
    sending: sending::Sending,
    /// An update that another VM mostly passes on first.
    second: Option<Owed>,
    /// When this VM tells what changed of the fleet.
    tell_at: Option<clock::Moment>,
    told_at: Option<clock::Moment>,

    /// VMs that others have told there are.
    heard_vms: Option<usize>,
    /// VMs that the directory told of, and until when they count.
    floor: Option<(usize, clock::Moment)>,
    /// Whether the directory was read.
    listed: bool,
    read_at: clock::Moment,
    /// What this VM wrote to the directory last, and when.
    written: Option<(u64, clock::Moment)>,
    /// The view that was shown last.
    shown: Option<Shown>,
    /// Who told of other VMs last.
    source: &'static str,
    actions: Vec<Action>,
}

impl State {
    /// A VM that knows nothing yet, with a link of so many bytes a second. `seeds`
    /// may be other VMs; random choices follow from `seed`.
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

    /// Does what is due; all there is to do, also for what was told before.
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

    /// When [`Self::tick`] has something to do.
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

    /// What this VM holds of the store has changed. `sure`, where its
    /// registrations are just those that a look showed.
    pub fn hold(&mut self, holds: spread::Holds, sure: bool, now: clock::Moment) {
        let news = holds.config != self.holds.config;
        self.holds = holds;
        self.sure = sure;
        if news {
            self.sending.renew(now);
            self.offer_news(now);
        }
    }

    /// How far this VM knows the store.
    pub fn holds(&self) -> spread::Holds {
        self.holds
    }

    /// Whether this VM's registrations are just those that a look showed.
    pub fn is_sure(&self) -> bool {
        self.sure
    }

    /// The VMs known.
    pub fn members(&self) -> &spread::Members {
        &self.members
    }

    /// How old the latest look is that what this VM holds includes; `None`
    /// before the first one.
    pub fn age(&self, now: clock::Moment) -> Option<time::Duration> {
        self.latest.as_ref().map(|latest| now.since(latest.at))
    }

    /// Whether another VM's registrations or configuration show what this VM
    /// lacks.
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

    /// How many VMs there are, this one included; `None` where this VM can't
    /// tell yet.
    pub fn vms(&self, now: clock::Moment) -> Option<usize> {
        let floor = self.floor.filter(|(_, until)| now < *until);
        let floor = floor.map(|(vms, _)| vms);
        let told = if self.is_settled(now) {
            // Nobody else's figure: two VMs that repeat each other's would keep
            // the count of a fleet that has shrunk.
            Some(floor.unwrap_or_default())
        } else {
            self.heard_vms.max(floor)
        };
        told.map(|told| told.max(self.members.count()))
    }

    /// Whether this VM can count the fleet by itself: it reads the store for
    /// all, and has had time to hear from VMs that started with it, and those
    /// in the directory.
    fn is_settled(&self, now: clock::Moment) -> bool {
        self.duty_since.is_some()
            && self.own_look.is_some()
            && self.listed
            && now.since(self.started) >= self.period * SETTLE
    }

    /// Until when a VM that has just started waits for what it asked; `None`
    /// where it waits no more.
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

    /// A random other VM, of this data centre where `near`.
    fn any(&mut self, near: bool) -> Option<net::SocketAddr> {
        let own = self.members.own().data_centre.clone();
        let fits = |member: &&spread::Member| !near || member.data_centre == own;
        let members = self.members.others().filter(fits);
        members.choose(&mut self.rng).map(|member| member.address)
    }

    /// A random part of the look period.
    fn part(&mut self, parts: std::ops::Range<f64>) -> time::Duration {
        self.period.mul_f64(self.rng.random_range(parts))
    }

    /// What this VM knows, in short.
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
