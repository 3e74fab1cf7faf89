//! Loopback addresses for the machines of a test's fleet.

use std::fmt::{Display, Formatter};
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};

/// Held by the run of the tests whose networks have the same second octet.
const RESERVATION_PORT: u16 = 17_699;

/// Second octets that runs of the tests may reserve; 127.0 is left to other programs.
const RUN_OCTETS: std::ops::Range<u8> = 10..250;

/// The network of one fleet. Daemons listen at the same ports on all machines, so no two fleets may
/// share an address, be they of one run of the tests or of two runs at the same time.
#[derive(Debug, Clone, Copy)]
pub struct TestNetwork {
    run: u8,
    fleet: u8,
}

impl TestNetwork {
    /// Returns a network that no fleet of the last 255 uses.
    ///
    /// Panics where all addresses are reserved by other runs of the tests.
    pub fn open() -> Self {
        static FLEETS: AtomicU8 = AtomicU8::new(0);
        Self { run: reserved_run(), fleet: FLEETS.fetch_add(1, Ordering::SeqCst) }
    }

    pub fn machine_ip(self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.run, self.fleet, number))
    }
}

impl Display for TestNetwork {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}-{}", self.run, self.fleet)
    }
}

/// The second octet of this run, which is reserved until the process ends.
fn reserved_run() -> u8 {
    static RESERVATION: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let reserve = || {
        let bind = |run| TcpListener::bind((Ipv4Addr::new(127, run, 255, 254), RESERVATION_PORT));
        // Daemons of a run that was killed may still listen, so not every run begins at the first.
        let start = std::process::id() as usize % RUN_OCTETS.len();
        let octets = RUN_OCTETS.cycle().skip(start).take(RUN_OCTETS.len());
        let mut listeners = octets.filter_map(|run| bind(run).ok().map(|it| (run, it)));
        listeners.next().expect("a part of the loopback network that no run of the tests uses")
    };
    RESERVATION.get_or_init(reserve).0
}

/// Two fleets of one run listened at the same addresses: the number of a test, or of a soak seed
/// modulo 200, was the third octet.
#[test]
fn two_fleets_share_an_address() {
    let networks: Vec<_> = (0..10).map(|_| TestNetwork::open()).collect();
    let mut addresses: Vec<_> = networks.iter().map(|it| it.machine_ip(1)).collect();
    addresses.sort_unstable();
    addresses.dedup();
    assert_eq!(addresses.len(), networks.len());
}

/// Two runs of the tests had the same second octet where their process ids differed by a multiple
/// of 240.
#[test]
fn two_runs_reserve_the_same_addresses() {
    let run = reserved_run();
    let second = TcpListener::bind((Ipv4Addr::new(127, run, 255, 254), RESERVATION_PORT));
    assert_eq!(second.unwrap_err().kind(), std::io::ErrorKind::AddrInUse);
}
