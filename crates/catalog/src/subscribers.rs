//! The children of a relay by service.

use crate::Subscription;
use std::collections::{BTreeMap, BTreeSet};

/// The index of the children by service: a change costs only the children that follow its service.
#[derive(Clone, Debug)]
pub struct Subscribers<C> {
    subscriptions: BTreeMap<C, Subscription>,
    of_all: BTreeSet<C>,
    by_service: BTreeMap<String, BTreeSet<C>>,
}

impl<C: Ord + Clone> Subscribers<C> {
    /// An index without children.
    pub fn new() -> Self {
        Subscribers { subscriptions: BTreeMap::new(), of_all: BTreeSet::new(), by_service: BTreeMap::new() }
    }

    /// Takes in a child; what it followed before is replaced.
    pub fn subscribe(&mut self, child: C, subscription: Subscription) {
        self.unsubscribe(&child);
        match &subscription {
            Subscription::All => {
                self.of_all.insert(child.clone());
            }
            Subscription::Services(names) => {
                for name in names {
                    self.by_service.entry(name.clone()).or_default().insert(child.clone());
                }
            }
        }
        self.subscriptions.insert(child, subscription);
    }

    /// Takes out a child; gives what it followed.
    pub fn unsubscribe(&mut self, child: &C) -> Option<Subscription> {
        let subscription = self.subscriptions.remove(child)?;
        self.of_all.remove(child);
        if let Subscription::Services(names) = &subscription {
            for name in names {
                self.remove_from_service(name, child);
            }
        }
        Some(subscription)
    }

    fn remove_from_service(&mut self, name: &str, child: &C) {
        let Some(children) = self.by_service.get_mut(name) else { return };
        children.remove(child);
        if children.is_empty() {
            self.by_service.remove(name);
        }
    }

    /// What a child follows.
    pub fn subscription(&self, child: &C) -> Option<&Subscription> {
        self.subscriptions.get(child)
    }

    /// The children that follow a service, each once.
    pub fn interested<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a C> {
        self.of_all.iter().chain(self.by_service.get(service).into_iter().flatten())
    }

    /// The children that follow any of these services, each once.
    pub fn interested_in_any<'a>(&self, services: impl IntoIterator<Item = &'a str>) -> BTreeSet<C> {
        let mut children = self.of_all.clone();
        for service in services {
            children.extend(self.by_service.get(service).into_iter().flatten().cloned());
        }
        children
    }

    /// All children and what they follow.
    pub fn iter(&self) -> impl Iterator<Item = (&C, &Subscription)> {
        self.subscriptions.iter()
    }

    /// How many children there are.
    pub fn len(&self) -> usize {
        self.subscriptions.len()
    }

    /// Whether there is no child.
    pub fn is_empty(&self) -> bool {
        self.subscriptions.is_empty()
    }
}

impl<C: Ord + Clone> Default for Subscribers<C> {
    fn default() -> Self {
        Self::new()
    }
}
