//! Construction of a VM's components in the order of their dependencies.

use std::net;
use std::sync;

use opentelemetry::metrics as otel;
use tokio_util::sync::CancellationToken;

use crate::document;
use crate::home;
use crate::ids;
use crate::ledger;
use crate::member;
use crate::mesh;
use crate::metrics;
use crate::quarantine;
use crate::query;
use crate::slo;
use crate::store;
use crate::time::Clock;
use crate::timer;
use crate::vm;
use crate::vm::dispatch;

/// Dependencies that a VM's components share.
pub(super) struct Wiring<'a> {
    config: &'a vm::Config,
    incarnation: ids::Incarnation,
    stop: CancellationToken,
    clock: Clock,
    timer: timer::Service,
    metrics: metrics::Metrics,
    meter: otel::Meter,
    client: store::Client,
    store: sync::Arc<dyn store::Api>,
    catalog: document::Catalog,
}

impl<'a> Wiring<'a> {
    pub(super) fn new(config: &'a vm::Config, stop: CancellationToken) -> Result<Self, vm::Error> {
        let clock = Clock::start();
        let metrics = metrics::Metrics::new()?;
        let meter = metrics.meter();
        let store = store::Client::new(config.store.clone(), clock, &meter)?;
        Ok(Self {
            config,
            incarnation: ids::Incarnation(clock.wall().0),
            timer: timer::Service::new(stop.clone()),
            stop,
            clock,
            metrics,
            meter,
            client: store.clone(),
            store: sync::Arc::new(store),
            catalog: document::Catalog::default(),
        })
    }

    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    pub(super) fn start(
        &self,
        listener: tokio::net::TcpListener,
        socket: tokio::net::UdpSocket,
        address: net::SocketAddr,
    ) -> vm::Components {
        let member = self.member(socket, address);
        tokio::spawn(self.client.clone().follow(member.view()));
        let dispatch = sync::Arc::new(dispatch::Dispatch::default());
        let mesh = self.mesh(listener, &member, sync::Arc::clone(&dispatch) as _);
        let sender: sync::Arc<dyn mesh::Sender> = sync::Arc::clone(&mesh) as _;
        let slo = self.slo();
        let record: sync::Arc<dyn slo::Record> = sync::Arc::new(slo.clone());
        let broadcast = sync::Arc::new(quarantine::Broadcast {
            gossip: sync::Arc::new(member.clone()),
            sender: sync::Arc::clone(&sender),
            view: member.view(),
        });
        let quarantine = self.quarantine(sync::Arc::clone(&broadcast));
        let home = self.home(&member, &sender, &quarantine);
        let query = self.query(&member, &sender, &quarantine, &record);
        let ledger = self.ledger(&member, &sender, &quarantine, &record);
        let document = self.document(&member, &sender);
        dispatch.set(dispatch::Targets {
            home: home.clone(),
            query: query.clone(),
            ledger: ledger.clone(),
            document: document.clone(),
            quarantine: quarantine.clone(),
            broadcast,
        });
        let marks = dispatch::forward_marks(member.updates(), quarantine, self.stop.clone());
        tokio::spawn(marks);
        let metrics = self.metrics.clone();
        vm::Components {
            mesh,
            member,
            home,
            query,
            ledger,
            document,
            slo,
            metrics,
        }
    }

    fn member(&self, socket: tokio::net::UdpSocket, address: net::SocketAddr) -> member::Service {
        let (name, data_centre) = (self.config.vm.clone(), self.config.data_centre.clone());
        let mut config = member::Config::new(name, self.incarnation, data_centre, address, socket);
        config.seeds.clone_from(&self.config.seeds);
        member::Service::start(
            config,
            sync::Arc::clone(&self.store),
            self.clock,
            self.timer.clone(),
            &self.meter,
        )
    }

    fn mesh(
        &self,
        listener: tokio::net::TcpListener,
        member: &member::Service,
        receiver: sync::Arc<dyn mesh::Receiver>,
    ) -> sync::Arc<mesh::Mesh> {
        let mut config = mesh::Config::new(self.config.vm.clone(), self.incarnation, listener);
        config.max_frame_bytes = usize::try_from(self.config.max_frame.0).unwrap_or(usize::MAX);
        mesh::Mesh::start(
            config,
            member.view(),
            receiver,
            self.timer.clone(),
            &self.meter,
        )
    }

    fn slo(&self) -> slo::Service {
        slo::Service::start(
            slo::Config {
                vm: self.config.vm.clone(),
                incarnation: self.incarnation,
            },
            self.catalog.clone(),
            sync::Arc::clone(&self.store),
            self.clock,
            self.timer.clone(),
            &self.meter,
        )
    }

    fn quarantine(&self, broadcast: sync::Arc<quarantine::Broadcast>) -> quarantine::Service {
        quarantine::Service::start(
            quarantine::Config {
                vm: self.config.vm.clone(),
            },
            sync::Arc::clone(&self.store),
            broadcast,
            self.clock,
            self.timer.clone(),
            &self.meter,
        )
    }

    fn home(
        &self,
        member: &member::Service,
        sender: &sync::Arc<dyn mesh::Sender>,
        quarantine: &quarantine::Service,
    ) -> home::Service {
        let (vm, data_centre) = (self.config.vm.clone(), self.config.data_centre.clone());
        home::Service::start(
            home::Config {
                vm,
                data_centre,
                direct: self.config.policy == query::Policy::Direct,
            },
            self.catalog.clone(),
            member.view(),
            sync::Arc::clone(sender),
            sync::Arc::new(quarantine.clone()),
            self.clock,
            self.timer.clone(),
            &self.meter,
        )
    }

    fn query(
        &self,
        member: &member::Service,
        sender: &sync::Arc<dyn mesh::Sender>,
        quarantine: &quarantine::Service,
        record: &sync::Arc<dyn slo::Record>,
    ) -> query::Service {
        let config = query::Config {
            vm: self.config.vm.clone(),
            data_centre: self.config.data_centre.clone(),
            policy: self.config.policy,
        };
        query::Service::start(
            config,
            self.catalog.clone(),
            member.view(),
            sync::Arc::clone(sender),
            quarantine.clone(),
            sync::Arc::clone(record),
            self.clock,
            self.timer.clone(),
            &self.meter,
        )
    }

    fn ledger(
        &self,
        member: &member::Service,
        sender: &sync::Arc<dyn mesh::Sender>,
        quarantine: &quarantine::Service,
        record: &sync::Arc<dyn slo::Record>,
    ) -> ledger::Service {
        let config = ledger::Config {
            vm: self.config.vm.clone(),
            incarnation: self.incarnation,
            data_centre: self.config.data_centre.clone(),
        };
        ledger::Service::start(
            config,
            self.catalog.clone(),
            member.view(),
            sync::Arc::clone(sender),
            sync::Arc::clone(&self.store),
            sync::Arc::new(quarantine.clone()),
            sync::Arc::clone(record),
            self.clock,
            self.timer.clone(),
            &self.meter,
        )
    }

    fn document(
        &self,
        member: &member::Service,
        sender: &sync::Arc<dyn mesh::Sender>,
    ) -> document::Service {
        let (vm, data_centre) = (self.config.vm.clone(), self.config.data_centre.clone());
        let dependencies = document::Dependencies {
            catalog: self.catalog.clone(),
            view: member.view(),
            sender: sync::Arc::clone(sender),
            gossip: sync::Arc::new(member.clone()),
            store: sync::Arc::clone(&self.store),
            clock: self.clock,
            timer: self.timer.clone(),
        };
        document::Service::start(
            document::Config { vm, data_centre },
            dependencies,
            &self.meter,
        )
    }
}
