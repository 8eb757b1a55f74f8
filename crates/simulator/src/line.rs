//! A line of the simulator's wire and its parts.

/// A line and its parts, split at single spaces.
pub struct Line<'a> {
    text: &'a str,
    parts: Vec<&'a str>,
}

impl<'a> Line<'a> {
    /// Splits a line without its end.
    pub fn new(text: &'a str) -> Self {
        Line { text, parts: text.split(' ').collect() }
    }

    /// Whether the line has no text.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// The first part, which names the kind of the line.
    pub fn word(&self) -> &'a str {
        self.parts[0]
    }

    /// The text of an error about a field.
    pub fn fault(&self, field: &str, what: &str) -> String {
        format!("{}: {field}: {what}", self.word())
    }

    /// A part that must be there, by its number and the name of its field.
    pub fn part(&self, n: usize, field: &str) -> Result<&'a str, String> {
        match self.parts.get(n) {
            Some(p) if !p.is_empty() => Ok(p),
            _ => Err(self.fault(field, "missing")),
        }
    }

    /// The part, or `None` where it is `-` or left out.
    pub fn optional(&self, n: usize) -> Option<&'a str> {
        self.parts.get(n).copied().filter(|p| *p != "-" && !p.is_empty())
    }

    /// A part that must be a whole number.
    pub fn integer<T: std::str::FromStr>(&self, n: usize, field: &str) -> Result<T, String> {
        let part = self.part(n, field)?;
        part.parse().map_err(|_| self.fault(field, &format!("not a whole number in range: {part:?}")))
    }

    /// A part that must be a finite number.
    pub fn number(&self, n: usize, field: &str) -> Result<f64, String> {
        self.float(self.part(n, field)?, field)
    }

    /// The finite number that a part stands for.
    pub fn float(&self, part: &str, field: &str) -> Result<f64, String> {
        let value = part.parse::<f64>().ok().filter(|v| v.is_finite());
        value.ok_or_else(|| self.fault(field, &format!("not a number: {part:?}")))
    }

    /// A finite number, or `None` where the part is `-` or left out.
    pub fn optional_number(&self, n: usize, field: &str) -> Result<Option<f64>, String> {
        self.optional(n).map(|p| self.float(p, field)).transpose()
    }

    /// A part that must be `1` for true, or `0` or `-` for false.
    pub fn flag(&self, n: usize, field: &str) -> Result<bool, String> {
        match self.part(n, field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(self.fault(field, &format!("neither 1 nor 0: {other:?}"))),
        }
    }

    /// All of the line from a part on.
    pub fn rest(&self, n: usize, field: &str) -> Result<&'a str, String> {
        let text = self.text.splitn(n + 1, ' ').nth(n).filter(|t| !t.is_empty());
        text.ok_or_else(|| self.fault(field, "missing"))
    }
}
