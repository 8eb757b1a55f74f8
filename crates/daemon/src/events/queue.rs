//! The event queue, and the number of open requests.

use super::{Answer, HostEvent, IncomingRequest};
use liftrouter_decision::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Sends the answer to a request.
pub struct ReplySender(oneshot::Sender<Answer>);

impl ReplySender {
    /// Sends the answer. It is discarded if the client has disconnected.
    pub fn send(self, answer: Answer) {
        let _ = self.0.send(answer);
    }
}

/// The event queue; its users share it as an `Rc`.
#[derive(Default)]
pub struct EventQueue {
    events: RefCell<VecDeque<HostEvent>>,
    pushed: Notify,
    last_id: Cell<RequestId>,
    open_requests: Cell<usize>,
}

impl EventQueue {
    /// An empty queue.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Adds an event and wakes the host.
    pub fn push(&self, event: HostEvent) {
        self.events.borrow_mut().push_back(event);
        self.pushed.notify_one();
    }

    /// Assigns an id to a request and pushes it to the host. The returned receiver gets the answer.
    pub fn submit(&self, request: IncomingRequest) -> (RequestId, oneshot::Receiver<Answer>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.open_requests.set(self.open_requests.get() + 1);
        let (sender, answer) = oneshot::channel();
        self.push(HostEvent::RequestReceived { id, request, reply: ReplySender(sender) });
        (id, answer)
    }

    /// Number of requests that are unanswered or have an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Called by the host when a request is answered and has no attempt in flight.
    pub fn request_closed(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
    }

    /// Called by the host: removes and returns the oldest event.
    pub fn pop(&self) -> Option<HostEvent> {
        self.events.borrow_mut().pop_front()
    }

    /// Called by the host: waits until an event may have been pushed.
    pub async fn wait(&self) {
        self.pushed.notified().await;
    }
}
