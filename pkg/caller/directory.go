package caller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
)

const (
	lookupTimeout = time.Second
	avoidFor      = 3 * time.Second // a host that failed is used last for this long
)

// entryCodec is one entry host of a look-up's answer.
type entryCodec struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int    `json:"weight"`
}

// answerCodec is a look-up's answer.
type answerCodec struct {
	Hosts []entryCodec `json:"hosts"`
	TTLMs int64        `json:"ttl_ms"`
}

// directory keeps the answer of the last look-up.
type directory struct {
	seeds     []string
	zone      string
	workspace string
	forwarder *forwarder.Forwarder

	mu      sync.Mutex
	hosts   []entryCodec
	expires time.Time
	avoid   map[string]time.Time // until when hosts that failed are used last
}

// pick returns the address for a try. The first try goes to a host chosen by
// weight, later ones to the next hosts in order.
func (d *directory) pick(ctx context.Context, try int) (string, error) {
	hosts, err := d.current(ctx)
	if err != nil {
		return "", err
	}
	usable := d.usable(hosts)
	if try > 1 {
		return usable[(try-1)%len(usable)].Address, nil
	}
	sum := 0
	for _, host := range usable {
		sum += max(host.Weight, 1)
	}
	chosen := rand.IntN(sum)
	for _, host := range usable {
		chosen -= max(host.Weight, 1)
		if chosen < 0 {
			return host.Address, nil
		}
	}
	return usable[0].Address, nil
}

// usable returns the hosts that did not fail lately, or all when none is left.
func (d *directory) usable(hosts []entryCodec) []entryCodec {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var usable []entryCodec
	for _, host := range hosts {
		if now.After(d.avoid[host.Address]) {
			usable = append(usable, host)
		}
	}
	if len(usable) == 0 {
		return hosts
	}
	return usable
}

// failed makes the next tries use other hosts, and the next request look up
// anew.
func (d *directory) failed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoid == nil {
		d.avoid = map[string]time.Time{}
	}
	d.avoid[address] = time.Now().Add(avoidFor)
	d.expires = time.Time{}
}

// current returns the kept answer, or a new one when it has expired. When no
// host answers, the old answer is better than none.
func (d *directory) current(ctx context.Context) ([]entryCodec, error) {
	d.mu.Lock()
	hosts, fresh := d.hosts, time.Now().Before(d.expires)
	sources := make([]string, 0, len(hosts)+len(d.seeds))
	for _, host := range hosts {
		sources = append(sources, host.Address)
	}
	d.mu.Unlock()
	if fresh {
		return hosts, nil
	}
	sources = append(sources, d.seeds...)
	for _, source := range sources {
		answer, err := d.lookup(ctx, source)
		if err != nil || len(answer.Hosts) == 0 {
			continue
		}
		d.mu.Lock()
		d.hosts = answer.Hosts
		d.expires = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
		d.mu.Unlock()
		return answer.Hosts, nil
	}
	if len(hosts) > 0 {
		return hosts, nil
	}
	return nil, errors.Errorf("none of %d known entry hosts answers a look-up", len(sources))
}

func (d *directory) lookup(ctx context.Context, source string) (answerCodec, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{}
	query.Set("zone", d.zone)
	query.Set("workspace", d.workspace)
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: source, Path: "/.well-known/magnoliahill/hosts", RawQuery: query.Encode()},
		Header: http.Header{},
	}
	var answer answerCodec
	resp, err := d.forwarder.Try(ctx, req, forwarder.NewBody(http.NoBody))
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Errorf("look-up at %s answered status %d", source, resp.StatusCode)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}
