//! The queue of events, and the number of requests that are open.

use super::{Answer, HostEvent, IncomingRequest};
use crate::count_guard::CountGuard;
use liftrouter_decision::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// Where the one answer to a request goes. While it exists, the request counts as unanswered.
pub struct ReplySender {
    sender: oneshot::Sender<Answer>,
    _unanswered: CountGuard<Rc<Cell<usize>>>,
}

impl ReplySender {
    /// Sends the answer. The client may have disconnected, so nobody may receive it.
    pub fn send(self, answer: Answer) {
        let _ = self.sender.send(answer);
    }
}

/// The queue, shared by handle.
#[derive(Default)]
pub struct EventQueue {
    events: RefCell<VecDeque<HostEvent>>,
    pushed: Notify,
    last_id: Cell<RequestId>,
    open_requests: Cell<usize>,
    unanswered_requests: Rc<Cell<usize>>,
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

    /// Hands a request in; the receiver gets its one answer.
    pub fn submit(&self, request: IncomingRequest) -> (RequestId, oneshot::Receiver<Answer>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.open_requests.set(self.open_requests.get() + 1);
        let (sender, answer) = oneshot::channel();
        let reply = ReplySender { sender, _unanswered: CountGuard::new(self.unanswered_requests.clone()) };
        self.push(HostEvent::RequestReceived { id, request, reply });
        (id, answer)
    }

    /// Number of requests that are not over: unanswered, or with an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Number of requests without an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.unanswered_requests.get()
    }

    /// For the host: a request is over.
    pub fn request_closed(&self) {
        self.open_requests.set(self.open_requests.get().saturating_sub(1));
    }

    /// For the host: takes the oldest event.
    pub fn pop(&self) -> Option<HostEvent> {
        self.events.borrow_mut().pop_front()
    }

    /// For the host: waits until there may be an event.
    pub async fn wait(&self) {
        self.pushed.notified().await;
    }
}
