//! The kinds of faults: their names, victims and sizes.

/// What a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Victim {
    /// Nothing is named: there is one.
    None,
    /// A node.
    Node,
    /// A limiter.
    Limiter,
    /// A room.
    Room,
    /// A keeper; the first where none is named.
    Keeper,
}

/// A kind of fault; what each does stands in [`KINDS`].
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    KeeperSilent,
    KeeperSlow,
    KeeperRefusing,
    KeeperForgets,
    KeeperStale,
    KeeperSplit,
    KeeperSwapped,
    KeeperDoubled,
    RoomCut,
    LinkCut,
    LinkHeld,
    LinkDropping,
    LinkSlow,
    LinkReset,
    NodeKilled,
    NodeVanished,
    NodeDraining,
    NodeRestarted,
    NodeSlow,
    NodeStalling,
    NodeRubbish,
    RollingDeploy,
    ListSilent,
    ListLate,
    ListDrains,
    FileDamaged,
    FileMissing,
    LimiterKilled,
    LimiterTerminated,
    LimiterPaused,
    AuthoriserSilent,
    AuthoriserSlow,
    AuthoriserRefusing,
    AuthoriserRubbish,
    AuthoriserGoaway,
    ResetFlood,
    StandInPanics,
}

/// What a kind is called and takes.
pub struct About {
    /// Which.
    pub kind: Kind,
    /// Its name in scenario files.
    pub name: &'static str,
    /// What it strikes.
    pub victim: Victim,
    /// Whether it needs `for_s`.
    pub lasts: bool,
    /// Whether `peer` may be given.
    pub peer: bool,
    /// What `size` means, its default, least and most; none where it takes no size.
    pub size: Option<(&'static str, f64, f64, f64)>,
    /// What happens.
    pub does: &'static str,
}

const fn about(kind: Kind, name: &'static str, victim: Victim, lasts: bool, does: &'static str) -> About {
    About { kind, name, victim, lasts, peer: false, size: None, does }
}

impl About {
    const fn size(mut self, means: &'static str, default: f64, least: f64, most: f64) -> About {
        self.size = Some((means, default, least, most));
        self
    }

    const fn peer(mut self) -> About {
        self.peer = true;
        self
    }
}

/// Every kind of fault.
pub const KINDS: &[About] = &[
    about(Kind::KeeperSilent, "keeper-silent", Victim::Keeper, true, "the keeper takes calls and answers none"),
    about(Kind::KeeperSlow, "keeper-slow", Victim::Keeper, true, "each call takes several times as long").size(
        "times slower",
        5.0,
        1.0,
        1_000.0,
    ),
    about(Kind::KeeperRefusing, "keeper-refusing", Victim::Keeper, true, "connections to it are refused"),
    about(Kind::KeeperForgets, "keeper-forgets", Victim::Keeper, false, "a share of the counts is lost").size(
        "share of the names",
        1.0,
        0.0,
        1.0,
    ),
    about(Kind::KeeperStale, "keeper-stale", Victim::Keeper, true, "totals stay as they are at the beginning"),
    about(
        Kind::KeeperSplit,
        "keeper-split",
        Victim::Room,
        true,
        "limiters of this room reach another that takes itself for the first; what it counted is added at the end",
    )
    .size("share of the names that it begins with", 1.0, 0.0, 1.0),
    about(Kind::KeeperSwapped, "keeper-swapped", Victim::Keeper, false, "another takes its place").size(
        "share of the names that it has",
        0.0,
        0.0,
        1.0,
    ),
    about(Kind::KeeperDoubled, "keeper-doubled", Victim::Keeper, true, "what is added is added twice"),
    about(Kind::RoomCut, "room-cut", Victim::Room, true, "nothing crosses between this room and the others"),
    about(Kind::LinkCut, "link-cut", Victim::Limiter, true, "silent, and new connections never come up")
        .peer(),
    about(Kind::LinkHeld, "link-held", Victim::Limiter, true, "bytes are held back both ways").peer(),
    about(Kind::LinkDropping, "link-dropping", Victim::Limiter, true, "bytes vanish; connections die of it")
        .peer(),
    about(Kind::LinkSlow, "link-slow", Victim::Limiter, true, "bytes take longer, each way").peer().size(
        "milliseconds",
        50.0,
        0.0,
        10_000.0,
    ),
    about(Kind::LinkReset, "link-reset", Victim::Limiter, true, "connections are reset, new ones too").peer(),
    about(
        Kind::NodeKilled,
        "node-killed",
        Victim::Node,
        true,
        "the process dies, and starts cold afterwards",
    ),
    about(
        Kind::NodeVanished,
        "node-vanished",
        Victim::Node,
        true,
        "the machine says nothing, then starts cold",
    ),
    about(
        Kind::NodeDraining,
        "node-draining",
        Victim::Node,
        true,
        "drains, is gone, and starts cold afterwards",
    ),
    about(
        Kind::NodeRestarted,
        "node-restarted",
        Victim::Node,
        false,
        "dies and starts cold at once elsewhere",
    ),
    about(Kind::NodeSlow, "node-slow", Victim::Node, true, "all work takes several times as long").size(
        "times slower",
        4.0,
        1.0,
        1_000.0,
    ),
    about(Kind::NodeStalling, "node-stalling", Victim::Node, true, "answers stop in their midst"),
    about(Kind::NodeRubbish, "node-rubbish", Victim::Node, true, "answers are no HTTP, or not whole"),
    about(Kind::RollingDeploy, "rolling-deploy", Victim::None, true, "nodes drain in turn and start cold")
        .size("share of the fleet at a time", 0.15, 0.0, 1.0),
    about(Kind::ListSilent, "list-silent", Victim::None, true, "the list tells nothing"),
    about(Kind::ListLate, "list-late", Victim::None, true, "news of the list come later")
        .size("seconds", 3.0, 0.0, 600.0),
    about(
        Kind::ListDrains,
        "list-drains",
        Victim::Node,
        true,
        "the list says that a node drains, which goes on as ever",
    ),
    about(
        Kind::FileDamaged,
        "file-damaged",
        Victim::None,
        true,
        "inventory files are half written, wrong or empty",
    ),
    about(Kind::FileMissing, "file-missing", Victim::None, true, "inventory files are not there"),
    about(
        Kind::LimiterKilled,
        "limiter-killed",
        Victim::Limiter,
        true,
        "SIGKILL, and started anew afterwards",
    ),
    about(Kind::LimiterTerminated, "limiter-terminated", Victim::Limiter, true, "SIGTERM, and started anew"),
    about(Kind::LimiterPaused, "limiter-paused", Victim::Limiter, true, "SIGSTOP, then SIGCONT"),
    about(
        Kind::AuthoriserSilent,
        "authoriser-silent",
        Victim::None,
        true,
        "the authoriser takes questions and answers none",
    ),
    about(Kind::AuthoriserSlow, "authoriser-slow", Victim::None, true, "its answers take longer").size(
        "milliseconds",
        60.0,
        0.0,
        60_000.0,
    ),
    about(
        Kind::AuthoriserRefusing,
        "authoriser-refusing",
        Victim::None,
        true,
        "its connections are reset, and new ones refused",
    ),
    about(
        Kind::AuthoriserRubbish,
        "authoriser-rubbish",
        Victim::None,
        true,
        "it answers twice, half, wrongly framed, compressed, with errors alone or not at all, in turn",
    ),
    about(
        Kind::AuthoriserGoaway,
        "authoriser-goaway",
        Victim::None,
        true,
        "each question meets a GOAWAY, in turn above and below its last id",
    ),
    about(
        Kind::ResetFlood,
        "reset-flood",
        Victim::Limiter,
        true,
        "somebody opens streams of its gRPC front and resets them at once",
    )
    .size("resets a second", 10_000.0, 1.0, 100_000.0),
    about(
        Kind::StandInPanics,
        "stand-in-panics",
        Victim::None,
        false,
        "the kit itself fails: tries its recovery",
    ),
];

impl Kind {
    /// All that is known of a kind.
    pub fn about(self) -> &'static About {
        KINDS.iter().find(|a| a.kind == self).unwrap_or(&KINDS[0])
    }

    /// The kind of this name.
    pub fn named(name: &str) -> Option<Kind> {
        KINDS.iter().find(|a| a.name == name).map(|a| a.kind)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_kind_is_found_by_its_name_and_by_itself() {
        for about in KINDS {
            assert_eq!(Kind::named(about.name), Some(about.kind));
            assert_eq!(about.kind.about().name, about.name);
        }
        let mut names: Vec<_> = KINDS.iter().map(|a| a.name).collect();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), KINDS.len());
    }
}
