//! JSON values; numbers keep their text, so that integers up to 2^64 stay exact.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at, 0)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => {
                fields.iter().rev().find(|(key, _)| key == name).map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Num(text) => text.parse().unwrap_or(0.0),
            _ => 0.0,
        }
    }

    pub fn integer(&self) -> Option<u64> {
        match self {
            Json::Num(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn is_true(&self) -> bool {
        *self == Json::Bool(true)
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Num(text) => write!(f, "{text}"),
            Json::Str(text) => write!(f, "{}", quote(text)),
            Json::Arr(items) => {
                write!(f, "[")?;
                for (n, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if n > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Json::Obj(fields) => {
                write!(f, "{{")?;
                for (n, (key, value)) in fields.iter().enumerate() {
                    write!(f, "{}{}:{value}", if n > 0 { "," } else { "" }, quote(key))?;
                }
                write!(f, "}}")
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|b| b" \t\r\n".contains(b)) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize, depth: usize) -> Option<Json> {
    skip_space(bytes, at);
    if depth > 64 {
        return None;
    }
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            skip_space(bytes, at);
            if bytes.get(*at) == Some(&b'}') {
                *at += 1;
                return Some(Json::Obj(fields));
            }
            loop {
                skip_space(bytes, at);
                let key = parse_string(bytes, at)?;
                skip_space(bytes, at);
                (bytes.get(*at)? == &b':').then_some(())?;
                *at += 1;
                fields.push((key, parse_value(bytes, at, depth + 1)?));
                skip_space(bytes, at);
                let next = *bytes.get(*at)?;
                *at += 1;
                match next {
                    b',' => {}
                    b'}' => return Some(Json::Obj(fields)),
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            skip_space(bytes, at);
            if bytes.get(*at) == Some(&b']') {
                *at += 1;
                return Some(Json::Arr(items));
            }
            loop {
                items.push(parse_value(bytes, at, depth + 1)?);
                skip_space(bytes, at);
                let next = *bytes.get(*at)?;
                *at += 1;
                match next {
                    b',' => {}
                    b']' => return Some(Json::Arr(items)),
                    _ => return None,
                }
            }
        }
        b'"' => Some(Json::Str(parse_string(bytes, at)?)),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| !b",]} \t\r\n:".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse::<f64>().ok().map(|_| Json::Num(number.to_owned())),
            }
        }
    }
}

fn parse_string(bytes: &[u8], at: &mut usize) -> Option<String> {
    (bytes.get(*at)? == &b'"').then_some(())?;
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                let c = match escaped {
                    b'n' => '\n',
                    b't' => '\t',
                    b'r' => '\r',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(hex, 16).ok()?)?
                    }
                    other => other as char,
                };
                out.extend_from_slice(c.to_string().as_bytes());
            }
            other => out.push(other),
        }
    }
}
