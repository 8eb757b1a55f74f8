//! The kinds of violation, the rule that each breaks and the sizes that are drawn for it.

use crate::scenario::{Scenario, Through};
use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// A kind of violation that the rogue commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// Reads a request and ends its connection.
    NoAnswer,
    /// Answers it twice.
    TwoAnswers,
    /// Answers it with what a node made for another.
    ForeignAnswer,
    /// Answers it so many milliseconds after its time.
    LateAnswer,
    /// Sends it to a node so many milliseconds after it was answered.
    AfterAnswer,
    /// Has two attempts of it out for so many milliseconds.
    Twice,
    /// Sends one again that must not run twice.
    ResendUnsafe,
    /// Sends one again so many milliseconds after its key was forgotten.
    ResendKey,
    /// Sends one six times.
    TooMany,
    /// Refuses one that has run and must not run twice.
    RefusedAfterRun,
    /// Sends it on otherwise than it came.
    Altered,
    /// Sends what no client asked.
    Invented,
    /// Sends it to a node so many milliseconds after the 250 that a drain leaves.
    Drained,
    /// Sends so many requests to a cold node in two seconds.
    ColdPush,
    /// Lets a partner pass its ceiling by this share of the rate.
    Ceiling,
    /// Lets so many attempts of a capped partner out at once.
    AtOnce,
    /// Gives a permission over gRPC twice.
    PermissionTwice,
    /// Chooses a node by a version of the inventory so many milliseconds after another one should have been read.
    ListVersion,
}

/// The sizes that are drawn for a kind, evenly on a logarithmic scale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizeRange {
    /// The least.
    pub least: f64,
    /// The greatest.
    pub most: f64,
}

impl SizeRange {
    /// The range of a violation that has no size.
    const ONE: SizeRange = SizeRange::new(1.0, 1.0);

    const fn new(least: f64, most: f64) -> SizeRange {
        SizeRange { least, most }
    }

    /// Draws one.
    pub(super) fn draw(self, rng: &mut fastrand::Rng) -> f64 {
        self.least * (self.most / self.least).powf(rng.f64())
    }
}

/// What is known of a kind of violation.
pub struct About {
    /// The rules that it breaks.
    pub rules: &'static [u8],
    /// The sizes that are drawn.
    pub sizes: SizeRange,
    /// Sizes from which the judge has said that it would find it: below, its tolerances hold.
    pub from: f64,
    /// What a size is.
    pub unit: &'static str,
}

impl About {
    /// A violation that has no size.
    fn of_one_size(rules: &'static [u8]) -> About {
        About { rules, sizes: SizeRange::ONE, from: 0.0, unit: "" }
    }

    fn in_milliseconds(rules: &'static [u8], sizes: SizeRange, from: f64) -> About {
        About { rules, sizes, from, unit: "ms" }
    }
}

impl Violation {
    /// Every kind.
    pub const ALL: [Violation; 18] = [
        Violation::NoAnswer,
        Violation::TwoAnswers,
        Violation::ForeignAnswer,
        Violation::LateAnswer,
        Violation::AfterAnswer,
        Violation::Twice,
        Violation::ResendUnsafe,
        Violation::ResendKey,
        Violation::TooMany,
        Violation::RefusedAfterRun,
        Violation::Altered,
        Violation::Invented,
        Violation::Drained,
        Violation::ColdPush,
        Violation::Ceiling,
        Violation::AtOnce,
        Violation::PermissionTwice,
        Violation::ListVersion,
    ];

    /// Its name on command lines and in tables.
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |v| v.get_name().to_string())
    }

    /// What is known of it.
    pub fn about(self) -> About {
        match self {
            Violation::NoAnswer | Violation::TwoAnswers | Violation::ForeignAnswer => {
                About::of_one_size(&[1])
            }
            // The grace for answers and that of sockets, and some milliseconds by which the kit itself may be late: what
            // lies within those is a doubt.
            Violation::LateAnswer => About::in_milliseconds(&[1], SizeRange::new(10.0, 900.0), 70.0),
            Violation::AfterAnswer => About::in_milliseconds(&[1], SizeRange::new(10.0, 1_000.0), 65.0),
            // The kit looks at the first one's socket when it comes to read the second.
            Violation::Twice => About::in_milliseconds(&[2], SizeRange::new(1.0, 100.0), 5.0),
            Violation::ResendUnsafe | Violation::TooMany | Violation::RefusedAfterRun => {
                About::of_one_size(&[2])
            }
            Violation::ResendKey => About::in_milliseconds(&[2], SizeRange::new(10.0, 1_000.0), 65.0),
            Violation::Altered | Violation::Invented | Violation::PermissionTwice => About::of_one_size(&[1]),
            Violation::Drained => About::in_milliseconds(&[3], SizeRange::new(1.0, 5_000.0), 65.0),
            // Of each limiter; the scenario has two, and the node is pushed over by some forty-five within two seconds.
            Violation::ColdPush => {
                About { rules: &[4], sizes: SizeRange::new(10.0, 100.0), from: 35.0, unit: "requests" }
            }
            Violation::Ceiling => {
                About { rules: &[5], sizes: SizeRange::new(0.01, 1.0), from: 0.5, unit: "of the rate" }
            }
            // The cap of 1 and one for the kit are allowed; what waits at the limiter counts as out here.
            Violation::AtOnce => {
                About { rules: &[5], sizes: SizeRange::new(3.0, 12.0), from: 4.0, unit: "attempts" }
            }
            // A file that is written in two halves is there 40 ms after the list knows of it.
            Violation::ListVersion => About::in_milliseconds(&[3], SizeRange::new(1.0, 5_000.0), 100.0),
        }
    }

    /// What a scenario must have, so that it can be committed.
    pub fn prepare(self, scenario: &mut Scenario) {
        match self {
            Violation::PermissionTwice => scenario.load.permissions = scenario.load.permissions.max(0.4),
            Violation::ListVersion if scenario.list.through == Through::Discovery => {
                scenario.list.through = Through::Csv;
            }
            _ => {}
        }
    }
}

/// A violation that is due at a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drawn {
    /// Its kind.
    pub kind: Violation,
    /// Its size; the unit goes with the kind.
    pub size: f64,
}
