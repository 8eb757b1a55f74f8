//! An index of a relay's subscribers by service.

use crate::Subscription;
use std::collections::{BTreeMap, BTreeSet};

/// An index of a relay's subscribers by service, so that a change is sent only to the subscribers of its service.
#[derive(Clone, Debug)]
pub struct Subscribers<Id> {
    subscriptions: BTreeMap<Id, Subscription>,
    all_services: BTreeSet<Id>,
    by_service: BTreeMap<String, BTreeSet<Id>>,
}

impl<Id: Ord + Clone> Subscribers<Id> {
    /// Creates an empty index.
    pub fn new() -> Self {
        Subscribers {
            subscriptions: BTreeMap::new(),
            all_services: BTreeSet::new(),
            by_service: BTreeMap::new(),
        }
    }

    /// Adds a subscriber, or replaces the subscription of an existing one.
    pub fn subscribe(&mut self, subscriber: Id, subscription: Subscription) {
        self.unsubscribe(&subscriber);
        match &subscription {
            Subscription::All => {
                self.all_services.insert(subscriber.clone());
            }
            Subscription::Services(names) => {
                for name in names {
                    self.by_service.entry(name.clone()).or_default().insert(subscriber.clone());
                }
            }
        }
        self.subscriptions.insert(subscriber, subscription);
    }

    /// Removes a subscriber and returns its subscription.
    pub fn unsubscribe(&mut self, subscriber: &Id) -> Option<Subscription> {
        let subscription = self.subscriptions.remove(subscriber)?;
        self.all_services.remove(subscriber);
        if let Subscription::Services(names) = &subscription {
            for name in names {
                self.remove_from_service(name, subscriber);
            }
        }
        Some(subscription)
    }

    fn remove_from_service(&mut self, name: &str, subscriber: &Id) {
        let Some(subscribers) = self.by_service.get_mut(name) else { return };
        subscribers.remove(subscriber);
        if subscribers.is_empty() {
            self.by_service.remove(name);
        }
    }

    /// The subscription of a subscriber.
    pub fn subscription(&self, subscriber: &Id) -> Option<&Subscription> {
        self.subscriptions.get(subscriber)
    }

    /// The subscribers of a service, each once.
    pub fn interested<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Id> {
        self.all_services.iter().chain(self.by_service.get(service).into_iter().flatten())
    }

    /// The subscribers of any of these services, each once.
    pub fn interested_in_any<'a>(&self, services: impl IntoIterator<Item = &'a str>) -> BTreeSet<Id> {
        let mut subscribers = self.all_services.clone();
        for service in services {
            subscribers.extend(self.by_service.get(service).into_iter().flatten().cloned());
        }
        subscribers
    }

    /// All subscribers and their subscriptions.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Subscription)> {
        self.subscriptions.iter()
    }

    /// The number of subscribers.
    pub fn len(&self) -> usize {
        self.subscriptions.len()
    }

    /// Whether there are no subscribers.
    pub fn is_empty(&self) -> bool {
        self.subscriptions.is_empty()
    }
}

impl<Id: Ord + Clone> Default for Subscribers<Id> {
    fn default() -> Self {
        Self::new()
    }
}
