//! The rules an edit must keep, each with a number; `docs/CODES.md` lists them with remedies.

use derive_more::Display;
use mustardrill_types::ModelName;
use serde::Serialize;

macro_rules! edit_rules {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $remedy:literal;)*) => {
        /// A rule that an edit broke.
        #[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        pub enum EditRule {
            $($(#[$doc])* $name,)*
        }

        impl EditRule {
            /// Every rule, in the order of the numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// The stable number of the rule.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number),* }
            }

            /// What an operator does about it.
            pub fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy),* }
            }
        }
    };
}

edit_rules! {
    /// The file is not INI.
    UnreadableFile = 5001, "write [model NAME] or [plain NAME] headers with key = value lines";
    /// The file changes nothing.
    EmptyFile = 5002, "add at least one [model NAME], [plain NAME] or [remove NAME] section";
    /// A header is neither model, plain nor remove.
    UnknownSection = 5003, "write [model NAME], [plain NAME] or [remove NAME]";
    /// A name has characters that names don't take.
    BadName = 5004, "use 1 to 64 letters, digits, dots, hyphens or underscores";
    /// An entry stands twice in the file.
    DuplicateEntry = 5005, "keep one section for each entry";
    /// A key stands twice in a section.
    DuplicateKey = 5006, "keep one line for each key";
    /// A key that entries don't have.
    UnknownKey = 5007, "use the keys that `catalogue show` prints";
    /// A key that must be there is not.
    MissingKey = 5008, "add the key; `catalogue show` prints an entry with all keys";
    /// A number is not a whole number.
    BadNumber = 5009, "write a whole number without unit or sign";
    /// A class that does not exist.
    UnknownClass = 5010, "use urgent, standard or background";
    /// A list of callers without a name in it.
    EmptyCallers = 5011, "name customers, or write all or none";
    /// A caller stands twice.
    DuplicateCaller = 5012, "name each customer once";
    /// A key that only a model has stands in a plain entry.
    WeightsOnPlain = 5013, "remove version and replicas, or make it a [model NAME]";
    /// A removal with keys other than revision.
    RemovalWithKeys = 5014, "keep only revision in a [remove NAME] section";
    /// A caller that no customer has as its name.
    UnknownCaller = 5101, "use a customer's name from the settings, or add the customer first";
    /// A service that has no instance.
    UnknownService = 5102, "use a service that the instance list shows";
    /// An owner that is not an operator.
    UnknownOwner = 5103, "use an operator's name from the settings";
    /// The entry belongs to another operator.
    NotOwner = 5104, "ask the owner to make the edit";
    /// Owner and limits change in one edit.
    OwnerWithLimits = 5105, "hand the entry over first; the new owner then sets the limits";
    /// No replica of a model that may be called.
    NoReplicas = 5106, "keep one replica or more, or set callers = none first";
    /// More replicas than the service has instances.
    TooManyReplicas = 5107, "ask for no more replicas than the service has instances";
    /// The models of a service want more instances than it has.
    ServiceOvercommitted = 5108, "lower the replicas of this or another model of the service";
    /// The origin does not have the version.
    VersionMissing = 5109, "publish the version at the origin first, or correct its name";
    /// The version is larger than an instance can stage.
    VersionTooLarge = 5110, "publish a smaller version, or raise staging_limit at the agents";
    /// The version's name stood for other bytes before.
    VersionReused = 5111, "publish changed weights under a new version name";
    /// A limit of zero.
    ZeroLimit = 5112, "set a limit of one or more, or take the customer out of callers";
    /// A limit above what the fleet can do.
    LimitTooHigh = 5113, "keep requests_per_second at 100000 and in_flight at 10000 or less";
    /// A limit below what is in progress now.
    LimitBelowUse = 5114, "keep in_flight at what is in use now, or wait until use falls";
    /// A model becomes plain or the other way round.
    KindChanged = 5115, "remove the entry first, or use another name";
    /// The service of a model that may be called changes.
    ServiceChanged = 5116, "make a second entry on the other service, then remove this one";
    /// An entry that may still be called is removed.
    RemovedInUse = 5117, "set callers = none in one edit, then remove it in the next";
    /// What is to be removed does not exist.
    NothingToRemove = 5118, "correct the name; `catalogue show` prints all entries";
    /// The entry exists and the edit does not say from which revision it was made.
    RevisionMissing = 5119, "start from `catalogue show` and keep its revision line";
    /// The edit says it was made from a revision that does not exist.
    RevisionUnknown = 5120, "start from `catalogue show` and keep its revision line";
    /// Somebody else changed the entry since.
    EditRace = 5121, "look at `catalogue show`, make the edit again from the new revision";
    /// The catalogue would not fit into the platform's value.
    CatalogueTooLarge = 5122, "remove entries that nobody calls";
    /// The edit to undo is not among the last.
    UndoUnknown = 5123, "make the change by an edit; only the last edits can be undone";
    /// The edit changes nothing.
    NoChange = 5124, "change a value; this is what is in force already";
}

/// Why one entry of an edit is refused.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize)]
#[display("line {line}: {entry}: {} {rule}: {message}; {}", rule.number(), rule.remedy())]
pub struct EditRefusal {
    /// The entry, or the section as it stands in the file.
    pub entry: Box<str>,
    /// The line in the operator's file; zero where the edit has none.
    pub line: usize,
    /// The rule.
    pub rule: EditRule,
    /// What was found.
    pub message: Box<str>,
}

impl EditRefusal {
    /// A refusal of `entry` by `rule`.
    pub fn new(entry: &str, line: usize, rule: EditRule, message: impl Into<Box<str>>) -> Self {
        Self { entry: entry.into(), line, rule, message: message.into() }
    }

    /// A refusal of a named entry.
    pub fn of(name: &ModelName, line: usize, rule: EditRule, message: impl Into<Box<str>>) -> Self {
        Self::new(name.as_str(), line, rule, message)
    }
}
