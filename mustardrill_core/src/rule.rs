//! The validation rules for edits, each with a stable number; `docs/CODES.md` lists them with their
//! remedies.

use derive_more::Display;
use mustardrill_types::ModelName;
use serde::Serialize;

macro_rules! edit_rules {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $remedy:literal;)*) => {
        /// The validation rule that an edit violates.
        #[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        pub enum EditRule {
            $($(#[$doc])* $name,)*
        }

        impl EditRule {
            /// Every rule, by ascending number.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// The number shown to operators: 50xx for the file itself, 51xx for what it requests.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number),* }
            }

            /// What the operator should do to have the edit accepted.
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy),* }
            }
        }
    };
}

edit_rules! {
    /// The file is not INI.
    UnreadableFile = 5001, "write [model NAME] or [plain NAME] headers with key = value lines";
    /// The file has no section.
    EmptyFile = 5002, "add at least one [model NAME], [plain NAME] or [remove NAME] section";
    /// A header is neither model, plain nor remove.
    UnknownSection = 5003, "write [model NAME], [plain NAME] or [remove NAME]";
    /// A name is empty, too long or has a character that is not allowed.
    BadName = 5004, "use 1 to 64 letters, digits, dots, hyphens or underscores";
    /// Two sections of the file are for the same entry.
    DuplicateEntry = 5005, "keep one section for each entry";
    /// A section has the same key twice.
    DuplicateKey = 5006, "keep one line for each key";
    /// A key that no kind of entry has.
    UnknownKey = 5007, "use the keys that `catalogue show` prints";
    /// A required key is missing.
    MissingKey = 5008, "add the key; `catalogue show` prints an entry with all keys";
    /// A value that must be a whole number is not one, or is out of range.
    BadNumber = 5009, "write a whole number without unit or sign";
    /// The class is not one of the known classes.
    UnknownClass = 5010, "use urgent, standard or background";
    /// The list of callers contains no name.
    EmptyCallers = 5011, "name customers, or write all or none";
    /// The list of callers has the same customer twice.
    DuplicateCaller = 5012, "name each customer once";
    /// A plain entry has a key that only models have.
    WeightsOnPlain = 5013, "remove version and replicas, or make it a [model NAME]";
    /// A removal has keys other than `revision`.
    RemovalWithKeys = 5014, "keep only revision in a [remove NAME] section";
    /// A caller is not a customer in the settings.
    UnknownCaller = 5101, "use a customer's name from the settings, or add the customer first";
    /// No instance belongs to the service.
    UnknownService = 5102, "use a service that the instance list shows";
    /// The owner is not an operator in the settings.
    UnknownOwner = 5103, "use an operator's name from the settings";
    /// The entry belongs to another operator.
    NotOwner = 5104, "ask the owner to make the edit";
    /// One edit changes both the owner and the limits.
    OwnerWithLimits = 5105, "hand the entry over first; the new owner then sets the limits";
    /// A model that customers may call has zero replicas.
    NoReplicas = 5106, "keep one replica or more, or set callers = none first";
    /// A model asks for more replicas than its service has instances.
    TooManyReplicas = 5107, "ask for no more replicas than the service has instances";
    /// The models of a service together need more instances than it has.
    ServiceOvercommitted = 5108, "lower the replicas of this or another model of the service";
    /// The origin does not have the version.
    VersionMissing = 5109, "publish the version at the origin first, or correct its name";
    /// The version is larger than an agent can stage.
    VersionTooLarge = 5110, "publish a smaller version, or raise staging_limit at the agents";
    /// The version name was pinned to another manifest digest by an earlier edit.
    VersionReused = 5111, "publish changed weights under a new version name";
    /// A limit is zero.
    ZeroLimit = 5112, "set a limit of one or more, or take the customer out of callers";
    /// A limit is above the maximum that an edit may set.
    LimitTooHigh = 5113, "keep requests_per_second at 100000 and in_flight at 10000 or less";
    /// `in_flight` is below the number of requests that a customer has in progress.
    LimitBelowUse = 5114, "keep in_flight at what is in use now, or wait until use falls";
    /// The edit turns a model into a plain entry, or a plain entry into a model.
    KindChanged = 5115, "remove the entry first, or use another name";
    /// The edit changes the service of an entry that customers may call.
    ServiceChanged = 5116, "make a second entry on the other service, then remove this one";
    /// The edit removes an entry that customers may still call.
    RemovedInUse = 5117, "set callers = none in one edit, then remove it in the next";
    /// The entry to remove does not exist.
    NothingToRemove = 5118, "correct the name; `catalogue show` prints all entries";
    /// The entry exists, but the edit does not give the revision that it is based on.
    RevisionMissing = 5119, "start from `catalogue show` and keep its revision line";
    /// The edit is based on a revision that the entry never had.
    RevisionUnknown = 5120, "start from `catalogue show` and keep its revision line";
    /// The entry has changed since the revision that the edit is based on.
    EditRace = 5121, "look at `catalogue show`, make the edit again from the new revision";
    /// The catalogue would exceed the maximum size of the stored document.
    CatalogueTooLarge = 5122, "remove entries that nobody calls";
    /// The edit to undo is no longer in the history.
    UndoUnknown = 5123, "make the change by an edit; only the last edits can be undone";
    /// Every section already equals the entry in force or the revision that it is based on.
    NoChange = 5124, "change a value; this is what is in force already";
}

/// Why one entry of an edit is refused.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize)]
#[display("line {line}: {entry}: {} {rule}: {message}; {}", rule.number(), rule.remedy())]
pub struct EditRefusal {
    /// The entry's name; otherwise the section header, the file's name or `undo`.
    pub entry: Box<str>,
    /// The line in the operator's file, from one; zero if no line applies, as for an undo.
    pub line: usize,
    /// The rule that is violated.
    pub rule: EditRule,
    /// The values that violate the rule.
    pub message: Box<str>,
}

impl EditRefusal {
    /// Creates a refusal for a section or file that may have no valid entry name.
    pub fn new(entry: &str, line: usize, rule: EditRule, message: impl Into<Box<str>>) -> Self {
        Self { entry: entry.into(), line, rule, message: message.into() }
    }

    /// Creates a refusal for the entry with this name.
    pub fn of(name: &ModelName, line: usize, rule: EditRule, message: impl Into<Box<str>>) -> Self {
        Self::new(name.as_str(), line, rule, message)
    }
}
