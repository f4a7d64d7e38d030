//! Authentication between the processes of the system by a shared secret.
//!
//! Each call carries a MAC over everything that decides its effect, and each answer a MAC that binds it to its
//! call. An epoch that the receiver chooses, with the nonces seen in it, bounds replay without comparing clocks.

mod datagram;
mod epochs;
mod guard;
mod header;
mod mac;
mod records;
mod secret;

pub use datagram::QueryTag;
pub use epochs::{EpochLimits, Epochs, ReplayError};
pub use guard::{PeerBody, PeerGuard, PeerRefusal, PeerRequest, ReplySigner};
pub(crate) use header::{CALL_HEADER, CHALLENGE_HEADER, PROOF_HEADER};
pub use header::{CallHeader, HeaderError, ProofHeader};
pub(crate) use mac::body_digest;
pub use mac::{CallTarget, PeerAuth};
pub(crate) use records::RecordOpener;
pub use secret::{PeerSecret, SecretError, read_secret_file};
