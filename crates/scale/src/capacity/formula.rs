//! Terms of a need: values with intervals that say how they were worked out.

use super::records::{RecordError, Records};
use crate::fit::{Interval, Method};
use crate::table::number;

/// A value with its interval, how far beyond the measured sizes it lies, and how it was worked out.
#[derive(Clone, Debug, PartialEq)]
pub struct Term {
    /// The value; none where a record is missing.
    pub value: Option<Interval>,
    /// Multiple of the largest measured size; 0 where nothing measured went in.
    pub stretch: f64,
    /// In words.
    pub working: String,
}

impl Term {
    /// A figure that is not measured.
    pub fn given(value: f64, working: &str) -> Term {
        let value = Some(Interval { value, half: 0.0 });
        Term { value, stretch: 0.0, working: working.into() }
    }

    /// What a record says of a quantity at a size.
    pub fn measured(
        records: &Records,
        (record, quantity, variable): (&str, &str, &str),
        size: f64,
    ) -> Result<Term, RecordError> {
        let estimate = records.estimate(record, quantity, variable, size)?;
        let how = estimate.map_or("not run".into(), |e| match e.method {
            Method::Measured => "measured there".into(),
            Method::Interpolated => "between two measured sizes".into(),
            Method::Line if e.stretch <= 1.0 => "by the line, under the smallest size".into(),
            Method::Line => format!("line stretched {} times", number(e.stretch)),
            Method::UpperLine => format!("line of the upper half stretched {} times", number(e.stretch)),
        });
        let size = number(size);
        Ok(Term {
            value: estimate.map(|e| e.interval),
            stretch: estimate.map_or(0.0, |e| e.stretch),
            working: format!("`{record}` `{quantity}` at {size} {variable} ({how})"),
        })
    }

    /// The same times a factor.
    pub fn times(self, factor: f64, words: &str) -> Term {
        Term {
            value: self.value.map(|value| value.times(factor)),
            working: format!("{} × {words}", self.working),
            ..self
        }
    }

    /// The same divided.
    pub fn over(self, divisor: f64, words: &str) -> Term {
        Term {
            value: self.value.map(|value| value.times(1.0 / divisor)),
            working: format!("{} / {words}", self.working),
            ..self
        }
    }

    /// The sum of two.
    pub fn plus(self, other: Term) -> Term {
        let value = self.value.zip(other.value).map(|(a, b)| a.plus(b));
        let working = format!("{} + {}", self.working, other.working);
        Term { value, stretch: self.stretch.max(other.stretch), working }
    }
}
