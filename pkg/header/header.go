// Package header defines the names of the headers that callers, entry hosts and
// backend servers exchange, and the outcomes and reasons that they contain.
package header

// Headers between callers and entry hosts.
const (
	Key       = "Magnoliahill-Key"        // credential; Authorization: Bearer is accepted too
	Service   = "Magnoliahill-Service"    // service called; by default the first label of the host name
	Timeout   = "Magnoliahill-Timeout-Ms" // milliseconds for which the caller waits
	Outcome   = "Magnoliahill-Outcome"    // one of the Outcome constants
	Reason    = "Magnoliahill-Reason"     // one of the Reason constants, on refusals
	RequestID = "Magnoliahill-Request-Id"
	Host      = "Magnoliahill-Host" // entry host that answered
)

// Headers between entry hosts and backend servers.
const (
	Workspace  = "Magnoliahill-Workspace" // set from the key; a value sent by the caller is removed
	Deadline   = "Magnoliahill-Deadline-Ms"
	DispatchID = "Magnoliahill-Dispatch-Id" // new for each attempt; echoed by backend servers that support it
	NotRun     = "X-Not-Run"                // "1" on the response to a request that was not run
	Load       = "X-Load-Report"            // requests running at the backend server
)

// Headers of requests that one entry host relays to another, and of the responses.
const (
	RelayedBy     = "Magnoliahill-Relayed-By"     // name of the host that the caller connected to
	RelayService  = "Magnoliahill-Relay-Service"  // service chosen for the request
	RelayAttempts = "Magnoliahill-Relay-Attempts" // backend servers that the request may still be sent to

	RelayRetryAfter = "Magnoliahill-Relay-Retry-After-Ms" // of a refusal
)

// Prefix starts every header that only this system may set.
const Prefix = "Magnoliahill-"

// Outcomes of a request as its caller sees them.
const (
	OutcomeAnswered = "answered" // the response is the backend server's
	OutcomeNotRun   = "not-run"  // no backend server ran it; safe to send again
	OutcomeUnknown  = "unknown"  // a backend server may have run it
)

// Reasons of a refusal.
const (
	ReasonBadRequest          = "bad-request"
	ReasonNoKey               = "no-key"
	ReasonKeyUnknown          = "key-unknown" // never issued, or withdrawn
	ReasonServiceUnknown      = "service-unknown"
	ReasonWorkspaceNotAllowed = "workspace-not-allowed"
	ReasonOverRate            = "over-rate"
	ReasonNoMemory            = "no-memory" // the host holds too many request bodies
	ReasonQueueFull           = "queue-full"
	ReasonQueueTimeout        = "queue-timeout"
	ReasonNoBackend           = "no-backend-server"
	ReasonStopping            = "host-stopping"
	ReasonNoConfig            = "no-configuration"
	ReasonDeadline            = "deadline"
	ReasonCanceled            = "canceled"
	ReasonConnectionBroken    = "connection-broken"
	ReasonStaleAnswer         = "stale-answer"
	ReasonUnprovenRefusal     = "unproven-refusal" // a backend server's status implies that it did not run the request, and nothing proves it
	ReasonShed                = "backend-server-shed"
	ReasonQuarantined         = "quarantined"  // the request crashed backend servers
	ReasonCutOff              = "host-cut-off" // the host reaches no backend server of the service
)
