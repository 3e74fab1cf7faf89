//! Attempts whose upstream sends nothing, and second attempts beside them.
//!
//! A sound upstream may send nothing for seconds and go on, so that silence ends no attempt. It is
//! a reason to send the request to another upstream as well, where it may run again. Both attempts
//! stay open, and the first one to go on is delivered.

mod allowance;
mod backup;
mod period;

pub(in crate::direct) use allowance::SilenceAllowance;
pub(in crate::direct) use backup::WaitReason;
pub(in crate::direct) use period::SilencePeriod;
