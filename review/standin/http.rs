//! A small HTTP/1.1 client and server side, one request for each connection.

use std::io::{Read as _, Write as _};
use std::net::IpAddr;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// Time after which a caller of the control address moves on.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Redirects that a caller follows.
const MAX_REDIRECTS: usize = 2;

/// A parsed message: first line, header lines and body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads one message with a `Content-Length`.
pub fn read_message(socket: &mut TcpStream) -> Option<Message> {
    let mut bytes = Vec::new();
    loop {
        if let Some(message) = parse(&bytes) {
            return Some(message);
        }
        let mut chunk = [0; 16384];
        match socket.read(&mut chunk) {
            Ok(read @ 1..) => bytes.extend_from_slice(&chunk[..read]),
            _ => return None,
        }
    }
}

fn parse(bytes: &[u8]) -> Option<Message> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.split("\r\n");
    let first_line = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let message = Message {
        first_line,
        headers,
        body: body.to_owned(),
    };
    let length = message.header("content-length").unwrap_or("0");
    (body.len() >= length.parse().ok()?).then_some(message)
}

fn call_once(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let mut socket = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT).ok()?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    socket.write_all(request.as_bytes()).ok()?;
    read_message(&mut socket)
}

/// Calls the addresses in turn until one answers with 2xx or 4xx; follows redirects. Nothing reaches
/// `unreachable`. Returns the status, 0 if there is none, and the body.
pub fn call(
    addresses: &[SocketAddr],
    unreachable: Option<IpAddr>,
    method: &str,
    path: &str,
    body: &str,
) -> (u16, String) {
    let mut last = (0, String::new());
    for first in addresses {
        let mut address = *first;
        for _ in 0..=MAX_REDIRECTS {
            if unreachable == Some(address.ip()) {
                sleep(ANSWER_TIMEOUT);
                last = (0, String::new());
                break;
            }
            let Some(answer) = call_once(address, method, path, body) else {
                break;
            };
            let status = answer.first_line.split(' ').nth(1).unwrap_or("0");
            let status: u16 = status.parse().unwrap_or(0);
            let location = answer.header("location").map(str::to_owned);
            last = (status, answer.body);
            if status != 307 {
                break;
            }
            let target = location.and_then(|url| {
                let rest = url.strip_prefix("http://")?.to_owned();
                rest.split('/').next()?.parse().ok()
            });
            let Some(target) = target else { break };
            address = target;
        }
        if (200..300).contains(&last.0) || (400..500).contains(&last.0) {
            return last;
        }
    }
    last
}

/// Whether an address answers a call itself, without a redirect.
pub fn answers_itself(address: SocketAddr, path: &str) -> bool {
    let answer = call_once(address, "GET", path, "");
    answer.is_some_and(|answer| answer.first_line.split(' ').nth(1) == Some("200"))
}
