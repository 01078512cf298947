package header

// Names holds the header names that a deployment's callers and backend
// servers use. It is set once at start.
type Names struct {
	RequestID        string // ID of the request; echoed by backend servers
	Deadline         string // milliseconds for which the sender still waits
	Key              string // credential of the caller; never forwarded
	Workspace        string // set from the key; a value sent by the caller is removed
	ObjectCookie     string // name of the cookie whose value identifies the object of a request
	ExpectedInstance string // the only backend server that may run the request
	ServedBy         string // backend server that sent the response
	ResponseStamp    string // present on every response that a backend server made
	NotRun           string // present on responses to requests that were not run
	Load             string // requests running, requests waiting, and slots of the backend server
	ColdRemaining    string // milliseconds for which the backend server stays cold
}
