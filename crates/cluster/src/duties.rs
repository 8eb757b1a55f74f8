//! Who ought to have which duty: the highest of all hashes of member and duty, so that one member that comes or goes moves its
//! own duties and no others.

/// FNV-1a over the parts, mixed once more: the same in every process and version.
pub fn weight(member: &str, duty: &[u8]) -> u64 {
    let parts = member.bytes().chain([0xff]).chain(duty.iter().copied());
    let hash = parts.fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// The member that ought to have a slot; none where there is nobody. Of two with one weight the lesser name.
pub fn owner<'a>(slot: u16, members: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    members.max_by(|a, b| {
        let of = |member: &str| weight(member, &slot.to_be_bytes());
        of(a).cmp(&of(b)).then_with(|| b.cmp(a))
    })
}

/// The slot that a thing by a name lies in, of so many.
pub fn slot_of(name: &str, slots: u16) -> u16 {
    (weight("", name.as_bytes()) % u64::from(slots.max(1))) as u16
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeMap;

    #[test]
    fn a_member_that_goes_moves_its_own_slots_and_they_are_spread() {
        let names: Vec<String> = (0..12).map(|n| format!("n{n}")).collect();
        let all = |without: &str| -> BTreeMap<u16, String> {
            let left = || names.iter().map(String::as_str).filter(|name| *name != without);
            (0..600).filter_map(|slot| Some((slot, owner(slot, left())?.to_string()))).collect()
        };
        let (before, after) = (all(""), all("n4"));
        for (slot, owner) in &before {
            assert!(owner == "n4" || after[slot] == *owner, "slot {slot} moved from {owner}");
        }
        for name in &names {
            let count = before.values().filter(|owner| *owner == name).count();
            assert!((25..=80).contains(&count), "{name} has {count} of 600");
        }
        assert_eq!(owner(3, std::iter::empty()), None);
    }
}
