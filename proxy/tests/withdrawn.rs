//! An attempt that is taken back before a byte of it is written is proof that it never ran: the call goes elsewhere.

mod common;

use common::*;
use flaxhead_engine::{
    BoxError, CallSpec, EndpointList, Engine, EngineConfig, Health, ListHandler, ListSource, Reply,
    WatchFuture,
};
use flaxhead_policy::{Class, ClassId, Idempotency, Settings};
use flaxhead_proxy::http::{Forward, Http};
use hyper::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Lists that a test brings when it likes.
#[derive(Default)]
struct Told(RefCell<Option<ListHandler>>);

impl ListSource for Told {
    fn watch(&self, _: Option<u64>, news: ListHandler) -> WatchFuture {
        self.0.replace(Some(news));
        Box::pin(std::future::pending::<BoxError>())
    }
}

impl Told {
    fn tell(&self, list: EndpointList) {
        (self.0.borrow_mut().as_mut().expect("a watch"))(list);
    }
}

fn only(name: &str, dial: SocketAddr) -> EndpointList {
    let host = flaxhead_engine::Endpoint {
        host: name.to_owned(),
        dial,
        site: "a".to_owned(),
        class: String::new(),
        block: 0,
        health: Health::Ready,
        share: 1.0,
        born_ms: 0,
    };
    EndpointList { seq: 1, whole: true, hosts: vec![host] }
}

/// The list comes between the attempt's turn, in which its request joins the connection's queue, and the turn of the
/// connection, which would write it: a loop's order that two events in one wake-up lead to.
#[test]
fn what_a_list_takes_back_is_not_written_by_a_connection_that_has_it_in_its_queue() {
    run(async {
        let (old, new) = (Host::start([ok("old")]).await, Host::start([ok("new")]).await);
        let class = Class {
            objective: 5_000_000,
            deadline: 9_000_000,
            priority_weight: 1.0,
            late_ratio: 0.5,
            idempotency: Idempotency::NonIdempotent,
        };
        let settings = Settings { classes: vec![class], ..Settings::default() };
        let setup = EngineConfig { seed: 7, settings, cached_list: Some(only("old", old.address)) };
        let transport = Http::new(8, Duration::from_secs(1), Duration::from_secs(60));
        let told = Rc::new(Told::default());
        let engine = Engine::start(setup, transport, told.clone(), Vec::new(), None);
        let send = || {
            let deadline = Instant::now() + Duration::from_secs(9);
            let ask = CallSpec {
                class: ClassId(0),
                tenant: None,
                deadline,
                resent: false,
                max_attempts: CallSpec::UNBOUNDED,
            };
            let target = "/api".parse().expect("a path");
            let (headers, body) = Default::default();
            {
                let client = Rc::new(());
                engine.request(ask, Forward { method: Method::POST, target, headers, body, client }, None)
            }
        };
        // Its connection is kept from here on.
        assert!(matches!(send().reply().await, Reply::Served(_)));
        let waiting = send();
        let list = only("new", new.address);
        spawn_local(async move { told.tell(list) });
        let Reply::Served(answer) = waiting.reply().await else { panic!("not served") };
        assert_eq!(answer.body().as_ref(), b"new");
        eventually("the old host's connection closes", || old.open.get() == 0).await;
        assert_eq!((old.count(), new.count()), (1, 1), "a `send` ran twice");
    });
}
