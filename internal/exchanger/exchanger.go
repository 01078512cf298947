// Package exchanger carries one request to one backend server and back over
// HTTP/1.1, on connections of its own. It never sends a request a second time,
// tells for certain when nothing of it can have run, and tells answers to other
// requests apart by their id.
package exchanger

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/pkg/marker"
)

// Errors of a try beside forwarder.ErrNotRun, ErrShed and ErrForeign. Each of
// them but ErrBroken proves that the request was not run.
var (
	// ErrUnreachable means that no connection came about.
	ErrUnreachable = errors.New("backend server could not be reached")
	// ErrMisdirected means that another backend server has the address.
	ErrMisdirected = errors.New("another backend server has the address")
	// ErrBroken means that the answer is missing, cut short or no answer in the
	// protocol. The request may have run.
	ErrBroken = errors.New("answer of the backend server is broken")
)

const (
	maxBuffered  = 1 << 20  // bytes of an answer that are read before any is passed on
	firstGrow    = 64 << 10 // bytes set aside at most before any has come
	maxForeign   = 4        // answers to other requests that are skipped
	orderIdle    = 0.5      // share of the allowed idle time after which no order is sent
	requestIdle  = 0.8      // the same for requests that may be sent again
	keepShare    = 0.6      // share of a stated idle limit that is made use of
	interimLimit = 8        // interim answers that are skipped
)

// Target is one run of a backend server.
type Target struct {
	Address  string // host:port
	Instance string // id of the run; connections are not shared between runs
}

func (t Target) key() string { return t.Address + "/" + t.Instance }

// Request is what a caller sent, ready to be sent on.
type Request struct {
	Method     string
	Target     string // path and query as the caller sent them
	Host       string
	ID         string // echoed in the answer
	Header     http.Header
	Body       *forwarder.Body
	Length     int64 // of the body; -1 when not known
	Idempotent bool
}

// Answer is what the backend server sent.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte        // the whole body, or its beginning when Rest is set
	Rest   io.ReadCloser // the rest of a long body; nil when there is none
	Length int64         // of the whole body; -1 when not known
}

// Exchanger keeps the connections to all backend servers.
type Exchanger struct {
	words marker.Vocabulary
	pool  *pool
}

// New returns an exchanger without connections, which keeps so many idle ones at
// most.
func New(words marker.Vocabulary, mostIdle int) *Exchanger {
	return &Exchanger{words: words, pool: newPool(mostIdle)}
}

// Dials returns how many connections were opened so far.
func (e *Exchanger) Dials() int64 {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	return e.pool.dials
}

// Sweep closes connections that were idle for too long.
func (e *Exchanger) Sweep(now time.Time) { e.pool.sweep(now) }

// Retain closes idle connections to all but some backend servers.
func (e *Exchanger) Retain(targets []Target) {
	wanted := make(map[string]bool, len(targets))
	for _, t := range targets {
		wanted[t.key()] = true
	}
	e.pool.forget(func(key string) bool { return wanted[key] })
}

// Close closes all idle connections.
func (e *Exchanger) Close() { e.pool.forget(func(string) bool { return false }) }

// Try sends a request once and returns the answer. It ends when the context
// does.
func (e *Exchanger) Try(ctx context.Context, target Target, req *Request) (*Answer, error) {
	l, err := e.connect(ctx, target, req.Idempotent)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = l.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{exchanger: e, link: l, req: req, stop: stop}
	answer, err := x.run()
	if err != nil {
		stop()
		_ = l.Close()
		return nil, err
	}
	return answer, nil
}

func (e *Exchanger) connect(ctx context.Context, target Target, idempotent bool) (*link, error) {
	share := orderIdle
	if idempotent {
		share = requestIdle
	}
	if l := e.pool.take(target.key(), time.Now(), share); l != nil {
		return l, nil
	}
	l, err := e.pool.dial(ctx, target.Address, target.key())
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return l, nil
}

// exchange is one request on one connection.
type exchange struct {
	exchanger *Exchanger
	link      *link
	req       *Request
	stop      func() bool // ends the watch over the context; false when it has struck
	sent      chan error  // result of sending a long body; nil when all was sent at once
}

func (x *exchange) run() (*Answer, error) {
	if err := x.send(); err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	resp, err := x.receive()
	if err != nil {
		return nil, err
	}
	if err := x.refusal(resp); err != nil {
		x.finish(resp)
		return nil, err
	}
	return x.answer(resp)
}

// send writes the request's head with as much of the body as is at hand, and
// the rest of a long body beside the answer.
func (x *exchange) send() error {
	var head bytes.Buffer
	req := x.req
	head.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&head); err != nil {
		return errors.Wrap(err, "request header could not be written")
	}
	whole, err := req.Body.Fill()
	if err != nil {
		return errors.Wrap(err, "request body could not be read")
	}
	if whole {
		kept := req.Body.Kept()
		if len(kept) > 0 || req.Length >= 0 && bodyExpected(req.Method) {
			head.WriteString("Content-Length: " + strconv.Itoa(len(kept)) + "\r\n")
		}
		head.WriteString("\r\n")
		head.Write(kept)
		_, err = x.link.Write(head.Bytes())
		return err
	}
	if req.Length >= 0 {
		head.WriteString("Content-Length: " + strconv.FormatInt(req.Length, 10) + "\r\n\r\n")
	} else {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	if _, err := x.link.Write(head.Bytes()); err != nil {
		return err
	}
	x.sent = make(chan error, 1)
	go func() { x.sent <- x.sendRest() }()
	return nil
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (x *exchange) sendRest() error {
	body := x.req.Body.Open()
	defer func() { _ = body.Close() }()
	if x.req.Length >= 0 {
		n, err := io.Copy(x.link, body)
		if err == nil && n != x.req.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	buffer := make([]byte, maxChunk)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := io.WriteString(x.link, strconv.FormatInt(int64(n), 16)+"\r\n"+string(buffer[:n])+"\r\n"); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(x.link, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

const maxChunk = 16 << 10 // bytes of a chunk of a long body

// receive reads the head of the answer to this request. Whole answers to other
// requests before it are skipped.
func (x *exchange) receive() (*http.Response, error) {
	method := &http.Request{Method: x.req.Method}
	foreign := 0
	for interim := 0; interim <= interimLimit; {
		resp, err := http.ReadResponse(x.link.reader, method)
		if err != nil {
			return nil, errors.Wrap(ErrBroken, err.Error())
		}
		if resp.StatusCode < http.StatusOK {
			interim++
			continue
		}
		id := resp.Header.Get(x.exchanger.words.RequestID)
		if id == "" || id == x.req.ID {
			return resp, nil
		}
		if foreign++; foreign > maxForeign || resp.Close || resp.ContentLength < 0 {
			return nil, forwarder.ErrForeign
		}
		if _, err := io.CopyN(io.Discard, resp.Body, resp.ContentLength); err != nil {
			return nil, forwarder.ErrForeign
		}
	}
	return nil, errors.Wrap(ErrBroken, "too many interim answers")
}

// refusal returns the error of an answer that says the request was not run.
func (x *exchange) refusal(resp *http.Response) error {
	said := resp.Header.Get(x.exchanger.words.NotRun) != ""
	signed := resp.Header.Get(x.exchanger.words.Signature) != ""
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && (said || !signed):
		return ErrMisdirected
	case said:
		return &ShedError{load: resp.Header.Get(x.exchanger.words.Load)}
	}
	return nil
}
