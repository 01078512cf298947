package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const connectTimeout = time.Second

// client is a client that keeps a connection for its requests.
type client struct {
	deployment *deployment
	name       string
	limit      time.Duration // for which it waits for an answer
	count      int
	conn       net.Conn
	reader     *bufio.Reader
	host       string
	answered   int    // on the present connection
	body       []byte // of the last answer
	stamp      string // of the last answer
	addresses  []string
	resolvedAt time.Time
	ttl        time.Duration
}

// resolve asks the directories for addresses if the last answer has expired.
func (c *client) resolve() error {
	if time.Since(c.resolvedAt) < c.ttl {
		return nil
	}
	hosts := c.deployment.hosts
	for _, i := range rand.Perm(len(hosts)) {
		ask := http.Client{Timeout: connectTimeout}
		resp, err := ask.Get(fmt.Sprintf("http://%s:%d/magnoliahill/resolve?Name=%s&Region=kigali&Zone=%s", hosts[i].ip, c.deployment.port+4, hostName, hosts[i].zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string
			TTL       float64 `json:"TtlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.resolvedAt = answer.Addresses, time.Now()
			// Some clients keep an answer three times as long as it says.
			c.ttl = time.Duration(3 * answer.TTL * float64(time.Second))
			return nil
		}
	}
	if len(c.addresses) > 0 {
		return nil // clients keep an answer if they cannot obtain a new one
	}
	return errors.New("no directory answered")
}

// connect opens a connection unless there is one.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	if err := c.resolve(); err != nil {
		return err
	}
	address := c.addresses[rand.IntN(len(c.addresses))]
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return errors.Wrap(err, "connecting")
	}
	c.conn, c.reader, c.host, c.answered = conn, bufio.NewReader(conn), address, 0
	return nil
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// prepare returns the next request with its bytes.
func (c *client) prepare(method, path string, body []byte) (*request, []byte) {
	c.count++
	id := fmt.Sprintf("%s%06x", c.name, c.count)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nMagnoliahill-Request-Id: %s\r\nMagnoliahill-Deadline-Milliseconds: %d\r\n",
		method, path, hostName, id, c.limit.Milliseconds())
	if len(body) > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return c.deployment.add(id, method+" "+path), []byte(head + "\r\n" + string(body))
}

// write sends a prepared request on the open connection.
func (c *client) write(r *request, data []byte) error {
	r.host, r.kept, r.sentAt = c.host, c.answered > 0, time.Now()
	_, err := c.conn.Write(data)
	return err
}

// send sends a request on the open connection.
func (c *client) send(method, path string, body []byte) (*request, error) {
	r, data := c.prepare(method, path, body)
	return r, c.write(r, data)
}

// read waits for the answer to a request. It returns its status, 0 if there is none, and
// what the client saw.
func (c *client) read(r *request) (status int, saw string, closes bool) {
	_ = c.conn.SetReadDeadline(r.sentAt.Add(c.limit))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: strings.Fields(r.what)[0]})
	if err == nil {
		c.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		c.stamp = resp.Header.Get("Magnoliahill-Response-Stamp")
		c.answered++
		return resp.StatusCode, fmt.Sprint(resp.StatusCode), resp.Close
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return 0, "nothing until its time limit", true
	}
	return 0, "closed: " + err.Error(), true
}

// receive waits for the answer to a request, and closes the connection if there is none or
// if the answer says so.
func (c *client) receive(r *request) int {
	status, saw, closes := c.read(r)
	c.deployment.ended(r, status, saw, time.Now())
	if closes {
		c.disconnect()
	}
	return status
}
