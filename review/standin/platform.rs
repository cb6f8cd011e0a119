//! The infrastructure's promotion call, which checks fences.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::database::Group;
use crate::http;
use crate::system::record;

/// Time from a promotion call until the server leads.
const PROMOTE_TIME: Duration = Duration::from_millis(600);

#[derive(Default)]
struct State {
    highest_token: BTreeMap<String, u64>,
}

#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Platform {
    pub fn start(groups: Vec<Group>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let platform = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let serving = platform.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (platform, groups) = (serving.clone(), groups.clone());
                thread::spawn(move || platform.serve(socket, &groups));
            }
        });
        platform
    }

    fn serve(&self, mut socket: TcpStream, groups: &[Group]) {
        let Some(request) = http::read_message(&mut socket) else {
            return;
        };
        let text = |name: &str| {
            let rest = request.body.split(&format!("\"{name}\":\"")).nth(1)?;
            Some(rest.split('"').next()?.to_owned())
        };
        let (Some(service), Some(id)) = (text("service"), text("id")) else {
            return;
        };
        let Some(group) = groups.iter().find(|group| group.service == service) else {
            return;
        };
        let token = request.header("x-fencing-token").unwrap_or("0");
        let token: u64 = token.parse().unwrap_or(0);
        let holder = request.header("x-lease-holder").unwrap_or("");
        let status = {
            let mut state = self.state.lock().unwrap();
            let highest = state.highest_token.entry(service).or_default();
            if token < *highest || !group.is_running(&id) {
                409
            } else {
                *highest = token;
                200
            }
        };
        record(&format!(
            "infrastructure: promotion of {id}, token {token}, by {holder}: {status}"
        ));
        let _closed = socket.write_all(
            format!("HTTP/1.1 {status} X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                .as_bytes(),
        );
        if status == 200 && !group.is_primary(&id) {
            thread::sleep(PROMOTE_TIME);
            group.promote(&id);
        }
    }
}
