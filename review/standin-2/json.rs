//! A small JSON value. Numbers keep their text, since attempts and revisions need 64 bits.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn str(&self) -> &str {
        if let Json::Str(s) = self { s } else { "" }
    }
    pub fn u64(&self) -> u64 {
        if let Json::Num(n) = self { n.parse().unwrap_or_else(|_| n.parse::<f64>().unwrap_or(0.0) as u64) } else { 0 }
    }
    pub fn f64(&self) -> f64 {
        if let Json::Num(n) = self { n.parse().unwrap_or(0.0) } else { 0.0 }
    }
    pub fn bool(&self) -> bool {
        *self == Json::Bool(true)
    }
    pub fn list(&self) -> &[Json] {
        if let Json::List(l) = self { l } else { &[] }
    }
    pub fn is_null(&self) -> bool {
        *self == Json::Null
    }
    pub fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            Json::Num(n) => out.push_str(n),
            Json::Str(s) => write_string(s, out),
            Json::List(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Map(fields) => {
                out.push('{');
                for (i, (name, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    write_string(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

fn write_string(s: &str, out: &mut String) {
    out.push('"');
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(|c| c.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                if *b.get(*at)? == b'}' {
                    *at += 1;
                    return Some(Json::Map(fields));
                }
                if *b.get(*at)? == b',' {
                    *at += 1;
                    continue;
                }
                let name = parse_string(b, at)?;
                skip(b, at);
                if *b.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((name, parse_value(b, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                if *b.get(*at)? == b']' {
                    *at += 1;
                    return Some(Json::List(items));
                }
                if *b.get(*at)? == b',' {
                    *at += 1;
                    continue;
                }
                items.push(parse_value(b, at)?);
            }
        }
        b'"' => Some(Json::Str(parse_string(b, at)?)),
        b't' => word(b, at, "true", Json::Bool(true)),
        b'f' => word(b, at, "false", Json::Bool(false)),
        b'n' => word(b, at, "null", Json::Null),
        _ => {
            let start = *at;
            while b.get(*at).is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c)) {
                *at += 1;
            }
            (*at > start).then(|| Json::Num(String::from_utf8_lossy(&b[start..*at]).into_owned()))
        }
    }
}

fn word(b: &[u8], at: &mut usize, text: &str, value: Json) -> Option<Json> {
    b[*at..].starts_with(text.as_bytes()).then(|| {
        *at += text.len();
        value
    })
}

fn parse_string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let code = u32::from_str_radix(std::str::from_utf8(b.get(*at..*at + 4)?).ok()?, 16).ok()?;
                        *at += 4;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend_from_slice(c.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}

/// Builds a map from pairs.
pub fn map(fields: Vec<(&str, Json)>) -> Json {
    Json::Map(fields.into_iter().map(|(n, v)| (n.to_owned(), v)).collect())
}
pub fn s(text: &str) -> Json {
    Json::Str(text.to_owned())
}
pub fn n(number: impl ToString) -> Json {
    Json::Num(number.to_string())
}
pub fn f(number: f64) -> Json {
    Json::Num(format!("{number:?}"))
}
