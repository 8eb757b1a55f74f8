//! One line of the simulator's wire protocol and access to its fields.

/// A line, split at single spaces into fields.
pub struct Line<'a> {
    text: &'a str,
    fields: Vec<&'a str>,
}

impl<'a> Line<'a> {
    /// Splits a line that was stripped of its line ending.
    pub fn new(text: &'a str) -> Self {
        Line { text, fields: text.split(' ').collect() }
    }

    /// Whether the line has no text.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty()
    }

    /// The first field, a keyword that states the kind of the line.
    pub fn keyword(&self) -> &'a str {
        self.fields[0]
    }

    /// An error message that names the line's keyword and the field.
    pub fn error(&self, name: &str, problem: &str) -> String {
        format!("{}: {name}: {problem}", self.keyword())
    }

    /// The field at an index, which must be present. `name` is used in the error message.
    pub fn required(&self, index: usize, name: &str) -> Result<&'a str, String> {
        match self.fields.get(index) {
            Some(text) if !text.is_empty() => Ok(text),
            _ => Err(self.error(name, "missing")),
        }
    }

    /// The field at an index, or `None` if it is `-` or absent.
    pub fn optional(&self, index: usize) -> Option<&'a str> {
        self.fields.get(index).copied().filter(|text| *text != "-" && !text.is_empty())
    }

    /// A required field that is an integer.
    pub fn integer<T: std::str::FromStr>(&self, index: usize, name: &str) -> Result<T, String> {
        let text = self.required(index, name)?;
        text.parse().map_err(|_| self.error(name, &format!("not an integer in range: {text:?}")))
    }

    /// A required field that is a finite number.
    pub fn number(&self, index: usize, name: &str) -> Result<f64, String> {
        self.parse_float(self.required(index, name)?, name)
    }

    /// Parses the text of a field as a finite number.
    pub fn parse_float(&self, text: &str, name: &str) -> Result<f64, String> {
        let value = text.parse::<f64>().ok().filter(|v| v.is_finite());
        value.ok_or_else(|| self.error(name, &format!("not a finite number: {text:?}")))
    }

    /// A field that is a finite number, or `None` if it is `-` or absent.
    pub fn optional_number(&self, index: usize, name: &str) -> Result<Option<f64>, String> {
        self.optional(index).map(|text| self.parse_float(text, name)).transpose()
    }

    /// A required field that is a flag: `1` for true, `0` or `-` for false.
    pub fn flag(&self, index: usize, name: &str) -> Result<bool, String> {
        match self.required(index, name)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(self.error(name, &format!("neither 1 nor 0: {other:?}"))),
        }
    }

    /// The remainder of the line from a field on, with its spaces.
    pub fn remainder(&self, index: usize, name: &str) -> Result<&'a str, String> {
        let text = self.text.splitn(index + 1, ' ').nth(index).filter(|t| !t.is_empty());
        text.ok_or_else(|| self.error(name, "missing"))
    }
}
