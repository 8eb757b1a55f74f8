//! What is wrong with links. Troubles carry the number of the fault that made them, so that overlapping ones are undone
//! one by one.

use std::collections::BTreeMap;
use std::time::Duration;

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Open connections are silent, new ones never come up.
    Cut,
    /// Bytes are held back both ways until it is over.
    Held,
    /// Bytes vanish; a connection that lived through it never works again.
    Dropping,
    /// Bytes take longer, each way.
    Slow(Duration),
    /// Open connections are reset when it begins, and new ones while it lasts.
    Reset,
}

/// What all troubles of a link come to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Effect {
    /// New connections never come up.
    pub cut: bool,
    /// Nothing passes for now.
    pub held: bool,
    /// New connections are reset.
    pub resetting: bool,
    /// What passes takes longer.
    pub delay: Duration,
    /// Bytes vanish for now.
    pub dropping: bool,
    /// How often bytes have begun to be dropped ...
    pub drops: u64,
    /// ... and connections been reset.
    pub resets: u64,
}

/// The counts of drops and resets when a connection came up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Born {
    drops: u64,
    resets: u64,
}

impl Effect {
    /// Of a connection that comes up now. While bytes are dropped, new connections lose them as well.
    pub fn born(&self) -> Born {
        Born { drops: self.drops - u64::from(self.dropping), resets: self.resets }
    }

    /// Whether bytes are passed on later than they arrive.
    pub fn holds_bytes(&self) -> bool {
        self.held || !self.delay.is_zero()
    }

    /// Whether this connection loses all that is written to it.
    pub fn swallows(&self, born: Born) -> bool {
        self.drops > born.drops
    }

    /// Whether it has been reset.
    pub fn has_reset(&self, born: Born) -> bool {
        self.resets > born.resets
    }
}

/// The troubles of one link.
#[derive(Clone, Debug, Default)]
pub struct Troubles {
    by_fault: BTreeMap<u32, Trouble>,
    effect: Effect,
}

impl Troubles {
    /// A fault makes trouble here.
    pub fn begin(&mut self, fault: u32, trouble: Trouble) {
        self.by_fault.insert(fault, trouble);
        self.effect.drops += u64::from(trouble == Trouble::Dropping);
        self.effect.resets += u64::from(trouble == Trouble::Reset);
        self.sum();
    }

    /// The trouble that this fault made is over; that of others goes on.
    pub fn undo(&mut self, fault: u32) {
        self.by_fault.remove(&fault);
        self.sum();
    }

    /// What they come to now.
    pub fn effect(&self) -> Effect {
        self.effect
    }

    fn sum(&mut self) {
        let Effect { drops, resets, .. } = self.effect;
        let mut effect = Effect { drops, resets, ..Effect::default() };
        for trouble in self.by_fault.values() {
            match trouble {
                Trouble::Cut => (effect.cut, effect.held) = (true, true),
                Trouble::Held => effect.held = true,
                Trouble::Dropping => effect.dropping = true,
                Trouble::Slow(by) => effect.delay += *by,
                Trouble::Reset => effect.resetting = true,
            }
        }
        self.effect = effect;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_that_overlap_on_a_link_are_undone_one_by_one() {
        let mut troubles = Troubles::default();
        troubles.begin(1, Trouble::Cut);
        troubles.begin(2, Trouble::Held);
        troubles.undo(1);
        assert!(troubles.effect().held && !troubles.effect().cut);
        troubles.begin(3, Trouble::Slow(Duration::from_millis(20)));
        troubles.begin(4, Trouble::Slow(Duration::from_millis(30)));
        troubles.undo(2);
        assert_eq!((troubles.effect().held, troubles.effect().delay), (false, Duration::from_millis(50)));
    }

    #[test]
    fn a_connection_remembers_what_it_lived_through() {
        let mut troubles = Troubles::default();
        let before = troubles.effect().born();
        troubles.begin(1, Trouble::Dropping);
        let during = troubles.effect().born();
        troubles.undo(1);
        let after = troubles.effect();
        assert!(after.swallows(before) && after.swallows(during), "both lost bytes");
        assert!(!after.swallows(after.born()) && !after.has_reset(before));
        troubles.begin(2, Trouble::Reset);
        assert!(
            troubles.effect().has_reset(before) && !troubles.effect().has_reset(troubles.effect().born())
        );
    }
}
