//! Collects the effects of one call into `foca`.

use super::{GossipEvent, MemberIdentity, OutgoingGossip};
use foca::{Notification, Runtime, Timer};
use std::time::Duration;

#[derive(Default)]
pub struct Effects {
    pub outgoing: Vec<OutgoingGossip>,
    pub events: Vec<GossipEvent>,
    pub timers: Vec<(Duration, Timer<MemberIdentity>)>,
}

impl Runtime<MemberIdentity> for Effects {
    fn notify(&mut self, notification: Notification<'_, MemberIdentity>) {
        match notification {
            Notification::MemberUp(identity) => self.events.push(GossipEvent::Up(identity.clone())),
            Notification::MemberDown(identity) => self.events.push(GossipEvent::Down(identity.clone())),
            Notification::Rename(before, after) if before.instance != after.instance => {
                self.events.push(GossipEvent::Down(before.clone()));
                self.events.push(GossipEvent::Up(after.clone()));
            }
            Notification::Rejoin(identity) => self.events.push(GossipEvent::Rejoined(identity.clone())),
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberIdentity, data: &[u8]) {
        self.outgoing.push(OutgoingGossip { to: to.address, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<MemberIdentity>, after: Duration) {
        self.timers.push((after, event));
    }
}
