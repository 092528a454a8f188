//! Reader for the JSON that calls to the store carry.

/// JSON value; `true`, `false` and `null` are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a value; `None` where it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(rows) => rows.iter().find(|(other, _)| other == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(values)) => values,
            _ => &[],
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn take(chars: &[char], at: &mut usize, wanted: char) -> bool {
    skip_space(chars, at);
    let is_there = chars.get(*at) == Some(&wanted);
    *at += usize::from(is_there);
    is_there
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '"' => string(chars, at).map(Json::Text),
        '[' => {
            *at += 1;
            let mut values = Vec::new();
            while !take(chars, at, ']') {
                values.push(value(chars, at)?);
                take(chars, at, ',');
            }
            Some(Json::List(values))
        }
        '{' => {
            *at += 1;
            let mut rows = Vec::new();
            while !take(chars, at, '}') {
                skip_space(chars, at);
                let name = string(chars, at)?;
                take(chars, at, ':').then_some(())?;
                rows.push((name, value(chars, at)?));
                take(chars, at, ',');
            }
            Some(Json::Table(rows))
        }
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            if word.is_empty() {
                return None;
            }
            Some(word.parse().map_or(Json::Text(word), Json::Number))
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    take(chars, at, '"').then_some(())?;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                text.push(*chars.get(*at)?);
                *at += 1;
            }
            c => text.push(c),
        }
    }
}
