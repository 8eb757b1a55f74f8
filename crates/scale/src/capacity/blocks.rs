//! The marked blocks of the page, and their text.

use super::comparison::before_and_after;
use super::needs::{needs, Carries, Role};
use super::records::{RecordError, Records};
use super::slope_list::slope_list;
use crate::budget::Budget;
use crate::table;

/// One block: what stands between `<!-- begin NAME -->` and `<!-- end NAME -->`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// Its name.
    pub name: &'static str,
    /// Its text.
    pub text: String,
}

/// A page whose blocks are not those that are known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A block is missing, or its marks are out of order.
    #[error("the page has no block {0}: expected `<!-- begin {0} -->` and `<!-- end {0} -->`, once each")]
    NoBlock(&'static str),
}

/// All blocks, worked out anew.
///
/// # Errors
/// A record that cannot be fitted.
pub fn blocks(records: &Records, budget: &Budget) -> Result<Vec<Block>, RecordError> {
    let all = needs(records, budget)?;
    let block = |name, text| Block { name, text };
    Ok(vec![
        block("ranking", table::ranking(&all, |carries| carries == Carries::Today)),
        block("ranking-others", table::ranking(&all, |carries| carries != Carries::Today)),
        block("before-and-after", before_and_after(records)),
        block("roles", table::roles(&all)),
        block("needs", table::needs(&all, |need| need.role != Role::Fault)),
        block("faults", table::needs(&all, |need| need.role == Role::Fault)),
        block("faults-played", table::faults_played(records)),
        block("mechanisms", table::mechanisms(&all)),
        block("slopes", table::slopes(records, &slope_list(budget))?),
        block("records", table::records(records)),
    ])
}

/// The page with these blocks; all else stays.
///
/// # Errors
/// The page lacks one of them.
pub fn render(page: &str, blocks: &[Block]) -> Result<String, PageError> {
    let mut page = page.to_owned();
    for block in blocks {
        let (begin, end) =
            (format!("<!-- begin {} -->\n", block.name), format!("<!-- end {} -->", block.name));
        let missing = PageError::NoBlock(block.name);
        let once = |mark: &str| page.matches(mark).count() == 1;
        if !once(&begin) || !once(&end) {
            return Err(missing);
        }
        let (Some(from), Some(to)) = (page.find(&begin), page.find(&end)) else { return Err(missing) };
        let from = from + begin.len();
        if from > to {
            return Err(missing);
        }
        page.replace_range(from..to, &format!("\n{}\n", block.text));
    }
    Ok(page)
}
