/** Messages between the VMs of one fleet. */
namespace cpp bulrushlift.peer

/** Position in the log of a database group: term of the entry and its index. */
struct log_point_t {
  1: required i64 term
  2: required i64 position
}

/** Wire form of an error. `kind` is the name from the table of error kinds. */
struct error_t {
  1: required string kind
  2: required string message
  3: optional i64 retry_after_ms
  /** The outcome of this occurrence: "not_run", "unknown" or "done". */
  4: optional string outcome
}

/** State of a member as the sender knows it. `state` is alive, suspect, dead or leaving. */
struct member_t {
  1: required string vm
  2: required string address
  3: required string data_centre
  4: required i64 incarnation
  5: required string state
}

/** The sender's configuration: generation of its document and how recently it was confirmed. */
struct configuration_status_t {
  1: required i64 generation
  /** Milliseconds since the document was last confirmed to be the newest. */
  2: required i64 confirmed_age_ms
}

/** The evacuated data centres that the store listed at a position of its history, and when it was last read. */
struct evacuation_status_t {
  1: required i64 epoch
  2: required i64 position
  3: required list<string> data_centres
  /** Milliseconds since a VM read the store; -1 if none did. */
  4: required i64 confirmed_age_ms
}

struct ping_t {
  1: required string sender
  2: required i64 incarnation
  3: required list<member_t> updates
  4: required configuration_status_t configuration
  /** Set on an indirect ping: the member that the receiver is to probe for the sender. */
  5: optional string target
  6: optional evacuation_status_t evacuations
}

struct ack_t {
  1: required string sender
  2: required i64 incarnation
  3: required list<member_t> updates
  4: required configuration_status_t configuration
  /** The member that is reachable; differs from `sender` on indirect pings. */
  5: required string subject
  6: optional evacuation_status_t evacuations
}

struct leave_t {
  1: required string sender
  2: required i64 incarnation
}

/** A caller's request, relayed to the VM that executes it. It never contains the caller's key. */
struct relay_request_t {
  1: required string request_id
  2: required string customer
  3: required string route
  /** execute, begin, commit, rollback or resolve. */
  4: required string operation
  /** read or write. */
  5: optional string kind
  6: optional string statement
  7: optional i64 max_age_ms
  8: optional bool idempotent
  9: optional string idempotency_key
  10: optional string transaction
  /** Log point that the session requires of the service of the route. */
  11: optional log_point_t required_point
  12: required i64 deadline_ms
  13: required i64 generation
}

struct relay_reply_t {
  1: optional error_t error
  /** JSON text of the result. */
  2: optional string result
  3: optional log_point_t point
  4: optional string target
  5: optional string transaction
  6: optional string outcome
}

/** Tokens that the borrower used from one loan. */
struct loan_use_t {
  1: required i64 loan
  2: required i64 used_millitokens
}

struct loan_request_t {
  1: required string sender
  2: required i64 incarnation
  3: required string customer
  4: required i64 millitokens
  5: required list<loan_use_t> used
  6: required i64 generation
  7: optional i64 urgent_millitokens
}

struct loan_reply_t {
  1: required string customer
  2: required i64 loan
  3: required i64 millitokens
  4: required i64 level_millitokens
}

struct document_request_t {
  1: required i64 generation
}

struct document_reply_t {
  1: required i64 generation
  2: required string text
  3: required i64 confirmed_age_ms
  4: required list<string> leaving_targets
}

/** A statement of a caller's session. `kind` is the numeric value of the statement kind. */
struct session_statement_t {
  1: required string id
  2: required i32 kind
  3: required string text
  4: optional string name
  5: optional string argument
}

struct session_value_t {
  1: required string name
  2: required string value
}

struct prepared_statement_t {
  1: required bool is_write
  2: required string shape
}

/** The properties of a route that the owner of a service needs. `level` is the numeric value of the consistency level. */
struct session_route_t {
  1: required string service_name
  2: required i32 level
  3: required i64 max_staleness_ms
  4: required i64 statement_timeout_ms
  5: required i64 latency_objective_ms
  6: required i32 priority
}

/** A statement that the owner of the service runs for the VM of the session. */
struct statement_request_t {
  1: required string sender
  2: required string customer
  3: required session_route_t route
  4: required session_statement_t statement
  /** Set on the first statement of a transaction. */
  5: optional session_statement_t opening
  /** Number of the open transaction at the owner; set on later statements. */
  6: optional i64 transaction
  7: required list<session_value_t> values
  8: optional prepared_statement_t prepared
  9: optional log_point_t own_commit
  10: required i64 deadline_ms
  /** Only targets in this data centre may run the statement; all of the service if it is not set. */
  11: optional string data_centre
}

struct statement_reply_t {
  /** Number of the caller error; not set after a success. */
  1: optional i32 error
  2: optional string reason
  3: required list<string> rows
  4: required string signature
  5: optional log_point_t point
  /** Number of the transaction that is open after the statement. */
  6: optional i64 transaction
  /**
   * Set with an error if no target of the data centre can run the statement now: another data centre
   * that may, or empty if none is known.
   */
  7: optional string other_data_centre
  /** How long a statement like this one would wait at the sender now. */
  8: optional i64 expected_wait_ms
}

/** Rolls back an open transaction, with the caller's own statement if it sent one. */
struct transaction_end_t {
  1: required i64 transaction
  2: optional session_statement_t statement
}

/** An object of the store as a VM knows that watches it. */
struct watched_object_t {
  1: optional string name
  2: optional i64 epoch
  3: optional i64 version
  /** JSON text; not set if the follower has this version, or if the object is removed. */
  4: optional string content
  5: optional bool is_removed
}

/** Asks a VM that watches the store for the objects of a kind: for a listing, or for the changes after a sequence. */
struct watch_request_t {
  1: optional string kind
  /** Position in the store's history that the sender has reached. */
  2: optional i64 epoch
  3: optional i64 version
  /** The place in the changes of the watching VM; not set for a listing. */
  4: optional i64 instance
  5: optional i64 sequence
  /** In a listing, the name of the last object of the previous page. */
  6: optional string after
  /** How long the receiver may wait for a change. */
  7: optional i64 wait_ms
  /** Asks only whether the receiver watches the kind. */
  8: optional bool is_probe
}

struct watch_reply_t {
  /** Whether the sender watches the kind in the store; without it no other field is set. */
  1: optional bool is_watching
  /** Position in the store's history that the objects bring the receiver to. */
  2: optional i64 epoch
  3: optional i64 version
  4: optional i64 instance
  5: optional i64 sequence
  /** Milliseconds from the store's confirmation that nothing is newer to the arrival of the request; may be negative. */
  6: optional i64 confirmed_age_ms
  /** The sequence of the request is not known; the receiver has to list. */
  7: optional bool is_gap
  8: optional bool has_more
  9: optional list<watched_object_t> objects
}

struct envelope_t {
  /** Correlates a reply with its request; chosen by the requester. */
  1: required i64 id
  2: optional ping_t ping
  3: optional ack_t ack
  4: optional leave_t leave
  5: optional relay_request_t relay_request
  6: optional relay_reply_t relay_reply
  7: optional loan_request_t loan_request
  8: optional loan_reply_t loan_reply
  9: optional document_request_t document_request
  10: optional document_reply_t document_reply
  11: optional error_t error
  12: optional statement_request_t statement_request
  13: optional statement_reply_t statement_reply
  14: optional transaction_end_t transaction_end
  20: optional watch_request_t watch_request
  21: optional watch_reply_t watch_reply
}
