use std::cell;
use std::io;
use std::net;
use std::rc;
use std::time;

use tokio_util::sync;

use crate::follow;
use crate::ids;
use crate::rate;
use crate::registry;
use crate::spread;
use crate::time as clock;
use crate::timer;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A configuration that never changes.
struct Config;

impl follow::Source for Config {
    type Value = String;

    fn last_received(&self) -> clock::Latest {
        clock::Latest::default()
    }

    async fn list(&mut self) -> Result<follow::Snapshot<String>, follow::Error> {
        let item = follow::Item {
            name: "main".to_owned(),
            revision: ids::Revision(1),
            value: Some("{}".to_owned()),
        };
        Ok(follow::Snapshot {
            items: vec![item],
            // Something other than registrations was written since they were
            // listed.
            revision: ids::Revision(1_000_000),
        })
    }

    async fn watch(
        &mut self,
        _: ids::Revision,
    ) -> Result<(Vec<follow::Change<String>>, ids::Revision), follow::Error> {
        std::future::pending().await
    }
}

/// Registrations that change between any two lists, and whose watches receive
/// nothing.
#[derive(Clone, Default)]
struct SilentWatch {
    lists: rc::Rc<cell::Cell<u64>>,
    watches: rc::Rc<cell::RefCell<Vec<ids::Revision>>>,
}

impl follow::Source for SilentWatch {
    type Value = registry::Entry;

    fn last_received(&self) -> clock::Latest {
        clock::Latest::default()
    }

    async fn list(&mut self) -> Result<follow::Snapshot<registry::Entry>, follow::Error> {
        let list = self.lists.get() + 1;
        self.lists.set(list);
        let item = follow::Item {
            name: format!("u{list}"),
            revision: ids::Revision(list),
            value: None,
        };
        Ok(follow::Snapshot {
            items: vec![item],
            revision: ids::Revision(list),
        })
    }

    async fn watch(
        &mut self,
        revision: ids::Revision,
    ) -> Result<(Vec<follow::Change<registry::Entry>>, ids::Revision), follow::Error> {
        self.watches.borrow_mut().push(revision);
        std::future::pending().await
    }
}

struct Pages;

impl spread::DirectoryPages for Pages {
    async fn read(&mut self) -> Result<Vec<spread::Directory>, follow::Error> {
        Ok(Vec::new())
    }

    async fn write(&mut self, _: usize, _: &spread::Directory) -> Result<(), follow::Error> {
        Ok(())
    }
}

const LINK: rate::BytesPerSecond = rate::BytesPerSecond(1e9);

/// Listener that ignores everything and reaches no other VM.
struct NullListener;

impl spread::Listener for NullListener {
    fn apply_config(&self, _: &str) {}
    fn apply_registrations(&self, _: spread::Registrations, _: time::Duration) {}
    fn find_registration(&self, _: &str) -> Option<registry::Entry> {
        None
    }
    fn apply_view(&self, _: spread::View) {}
    fn add_crash_suspect(&self, _: ids::Fingerprint) {}

    async fn fetch(&self, _: net::SocketAddr, _: spread::Fetch) -> io::Result<spread::Answer> {
        Err(io::ErrorKind::ConnectionRefused.into())
    }
}

/// Guards against draining upstreams that are noticed seconds late, because a watch
/// that no longer receives anything continues to wait although polls show changes
/// that it missed.
#[test]
fn a_watch_that_missed_a_change_is_restarted() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let registrations = SilentWatch::default();
    let watches = registrations.watches.clone();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let clock = clock::Clock::start();
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let own = spread::Member {
            vm: "vm-1".parse().expect("a name"),
            incarnation: ids::Incarnation(1),
            beat: 0,
            address: socket.local_addr().expect("an address"),
            data_centre: "dc".parse().expect("a name"),
            cores: 1.0,
        };
        let state = spread::State::new(own, POLL_INTERVAL, Vec::new(), LINK, 1, clock.now());
        let store = spread::Store {
            config: Config,
            registration_lists: registrations.clone(),
            registration_watches: registrations,
            directory: Pages,
        };
        let timer = timer::Service::new(sync::CancellationToken::new());
        spread::Service::start(state, socket, NullListener, store, clock, &timer);
        tokio::time::sleep(POLL_INTERVAL * 30).await;
    });
    let watches = watches.borrow();
    assert!(watches.len() >= 10, "{watches:?}");
    assert!(watches.is_sorted(), "{watches:?}");
}
