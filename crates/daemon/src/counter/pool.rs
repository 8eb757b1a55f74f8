//! The keepers of counts that this limiter knows: customers' calls go to the one that is believed, at the pace that
//! it takes, and an answer from one that no longer is belongs to nobody.

use super::client::CounterClient;
use crate::events::{EventQueue, HostEvent};
use crate::log;
use liftrouter_counter::{Pacer, Post};
use liftrouter_decision::Outcome;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

pub struct CounterPool {
    all: Vec<Rc<CounterClient>>,
    post: Cell<Post>,
    pacer: RefCell<Option<Pacer>>,
    began: Instant,
    /// How often the process was found to have stood still, and the first keeper to stand elsewhere.
    wakes: Cell<u32>,
    moves: Cell<u32>,
    changed: Notify,
    /// Answers that belonged to a keeper no longer called.
    strays: Cell<u64>,
}

impl CounterPool {
    /// The first is called until another is believed.
    pub fn new(all: Vec<CounterClient>, pacer: Option<Pacer>) -> Rc<Self> {
        Rc::new(CounterPool {
            all: all.into_iter().map(Rc::new).collect(),
            post: Cell::default(),
            pacer: RefCell::new(pacer),
            began: Instant::now(),
            wakes: Cell::new(0),
            moves: Cell::new(0),
            changed: Notify::new(),
            strays: Cell::new(0),
        })
    }

    pub fn all(&self) -> &[Rc<CounterClient>] {
        &self.all
    }

    /// From now on customers are counted there.
    pub fn believe(&self, post: Post) {
        if self.post.replace(post) != post {
            let now = self.now();
            if let Some(pacer) = &mut *self.pacer.borrow_mut() {
                pacer.returned(now);
            }
        }
    }

    /// The first keeper stands elsewhere from now on.
    pub fn move_first(&self, address: SocketAddr) {
        let Some(first) = self.all.first() else { return };
        if first.move_to(address) {
            let post = self.post.get();
            if post.keeper == 0 {
                self.post.set(Post { term: post.term + 1, ..post });
            }
            self.moves.set(self.moves.get() + 1);
            self.changed.notify_one();
        }
    }

    /// The process stood still: whoever judges is to know.
    pub fn woke(&self) {
        self.wakes.set(self.wakes.get() + 1);
        self.changed.notify_one();
    }

    /// How often it stood still so far, and the first keeper was moved.
    pub fn changes(&self) -> (u32, u32) {
        (self.wakes.get(), self.moves.get())
    }

    /// Waits until one of the two may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Starts a customer's call, or gives why none can be made; nothing is added then.
    pub fn call(
        self: &Rc<Self>,
        events: &Rc<EventQueue>,
        name: String,
        add: f64,
        lives: f64,
    ) -> Result<(), Outcome> {
        let post = self.post.get();
        let keeper = self.all.get(post.keeper).ok_or(Outcome::ConnectFailed)?;
        let place = keeper.place()?;
        let now = self.now();
        if self.pacer.borrow_mut().as_mut().is_some_and(|pacer| !pacer.take(now)) {
            return Err(Outcome::Overloaded);
        }
        let (keepers, keeper, events) = (self.clone(), keeper.clone(), events.clone());
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            let (outcome, total, link) = keeper.run(place.address, &name, add, lives).await;
            let address = place.address;
            drop(place);
            let outcome = keepers.belongs(post, outcome);
            events.push(HostEvent::CounterReply { key: name, outcome, total, elapsed: began.elapsed() });
            keeper.keep(address, link).await;
        });
        Ok(())
    }

    /// What a call that began under a post comes to. What the keeper before has added is not added anew, since the
    /// one of today may be its copy, and its total is no total of today's: to the module that is a call without an
    /// answer. What it surely has not added goes to the keeper of today.
    fn belongs(&self, post: Post, outcome: Outcome) -> Outcome {
        let now = self.now();
        if let Some(pacer) = &mut *self.pacer.borrow_mut() {
            pacer.ended(outcome == Outcome::Ok, now);
        }
        if outcome != Outcome::Ok || self.post.get().term == post.term {
            return outcome;
        }
        let strays = self.strays.get() + 1;
        self.strays.set(strays);
        if strays.is_power_of_two() {
            log("keeper", format_args!("an answer came from the keeper before ({strays} so far)"));
        }
        Outcome::Timeout
    }
}
