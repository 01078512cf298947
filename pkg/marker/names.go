package marker

// Vocabulary holds the header names that a deployment's callers and backend
// servers speak. It is plain data, made once at start.
type Vocabulary struct {
	RequestID string // names one request; echoed by backend servers
	Deadline  string // milliseconds the sender still waits
	Key       string // credential of the caller; never passed on
	Workspace string // set from the key; a caller's own is removed
	Object    string // name of the cookie that names the object of a request
	Instance  string // backend server that alone may run the request
	Answerer  string // backend server that answered
	Signature string // present on every answer that a backend server made
	NotRun    string // present on answers that say the request was not run
	Load      string // requests running, requests waiting, slots
	Cold      string // milliseconds that the backend server stays cold
}
