//! A line of the simulator's wire and its fields.

/// A line and its fields, split at single spaces.
pub struct Line<'a> {
    text: &'a str,
    fields: Vec<&'a str>,
}

impl<'a> Line<'a> {
    /// Splits a line without its end.
    pub fn new(text: &'a str) -> Self {
        Line { text, fields: text.split(' ').collect() }
    }

    /// Whether the line has no text.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// The first part, which names the kind of the line.
    pub fn keyword(&self) -> &'a str {
        self.fields[0]
    }

    /// The text of an error about a field.
    pub fn error(&self, name: &str, problem: &str) -> String {
        format!("{}: {name}: {problem}", self.keyword())
    }

    /// A part that must be there, by its number and the name of its field.
    pub fn required(&self, index: usize, name: &str) -> Result<&'a str, String> {
        match self.fields.get(index) {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(self.error(name, "missing")),
        }
    }

    /// The part, or `None` where it is `-` or left out.
    pub fn optional(&self, index: usize) -> Option<&'a str> {
        self.fields.get(index).copied().filter(|text| *text != "-" && !text.is_empty())
    }

    /// A part that must be a whole number.
    pub fn integer<T: std::str::FromStr>(&self, index: usize, name: &str) -> Result<T, String> {
        let text = self.required(index, name)?;
        text.parse().map_err(|_| self.error(name, &format!("not a whole number in range: {text:?}")))
    }

    /// A part that must be a finite number.
    pub fn number(&self, index: usize, name: &str) -> Result<f64, String> {
        self.parse_float(self.required(index, name)?, name)
    }

    /// The finite number that a part stands for.
    pub fn parse_float(&self, text: &str, name: &str) -> Result<f64, String> {
        let value = text.parse::<f64>().ok().filter(|v| v.is_finite());
        value.ok_or_else(|| self.error(name, &format!("not a number: {text:?}")))
    }

    /// A finite number, or `None` where the part is `-` or left out.
    pub fn optional_number(&self, index: usize, name: &str) -> Result<Option<f64>, String> {
        self.optional(index).map(|text| self.parse_float(text, name)).transpose()
    }

    /// A part that must be `1` for true, or `0` or `-` for false.
    pub fn flag(&self, index: usize, name: &str) -> Result<bool, String> {
        match self.required(index, name)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(self.error(name, &format!("neither 1 nor 0: {other:?}"))),
        }
    }

    /// All of the line from a part on.
    pub fn remainder(&self, index: usize, name: &str) -> Result<&'a str, String> {
        let text = self.text.splitn(index + 1, ' ').nth(index).filter(|t| !t.is_empty());
        text.ok_or_else(|| self.error(name, "missing"))
    }
}
