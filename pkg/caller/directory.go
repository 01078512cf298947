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
	avoidTime     = 3 * time.Second // for which a host that failed is not used if others are left
)

// lookupHost is one entry host of a look-up response.
type lookupHost struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int    `json:"weight"`
}

// lookupResponse is the response to a look-up.
type lookupResponse struct {
	Hosts []lookupHost `json:"hosts"`
	TTLMs int64        `json:"ttl_ms"`
}

// directory caches the response to the last look-up.
type directory struct {
	seeds     []string
	zone      string
	workspace string
	forwarder *forwarder.Forwarder

	mu         sync.Mutex
	hosts      []lookupHost
	expires    time.Time
	avoidUntil map[string]time.Time // by address, for hosts that failed
}

// selectHost returns the address for an attempt. The first attempt goes to a random
// host by weight, later ones go to the next hosts in order.
func (d *directory) selectHost(ctx context.Context, attempt int) (string, error) {
	hosts, err := d.currentHosts(ctx)
	if err != nil {
		return "", err
	}
	usable := d.usable(hosts)
	if attempt > 1 {
		return usable[(attempt-1)%len(usable)].Address, nil
	}
	sum := 0
	for _, host := range usable {
		sum += max(host.Weight, 1)
	}
	remaining := rand.IntN(sum)
	for _, host := range usable {
		remaining -= max(host.Weight, 1)
		if remaining < 0 {
			return host.Address, nil
		}
	}
	return usable[0].Address, nil
}

// usable returns the hosts that did not fail within avoidTime, or all hosts when
// none is left.
func (d *directory) usable(hosts []lookupHost) []lookupHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var usable []lookupHost
	for _, host := range hosts {
		if now.After(d.avoidUntil[host.Address]) {
			usable = append(usable, host)
		}
	}
	if len(usable) == 0 {
		return hosts
	}
	return usable
}

// markFailed makes the next attempts use other hosts and repeat the look-up.
func (d *directory) markFailed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoidUntil == nil {
		d.avoidUntil = map[string]time.Time{}
	}
	d.avoidUntil[address] = time.Now().Add(avoidTime)
	d.expires = time.Time{}
}

// currentHosts returns the cached hosts, or looks them up when they have expired.
// When no host answers the look-up, it returns the expired hosts, because they may
// still be reachable for requests.
func (d *directory) currentHosts(ctx context.Context) ([]lookupHost, error) {
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
		response, err := d.lookup(ctx, source)
		if err != nil || len(response.Hosts) == 0 {
			continue
		}
		d.mu.Lock()
		d.hosts = response.Hosts
		d.expires = time.Now().Add(time.Duration(response.TTLMs) * time.Millisecond)
		d.mu.Unlock()
		return response.Hosts, nil
	}
	if len(hosts) > 0 {
		return hosts, nil
	}
	return nil, errors.Errorf("none of %d known entry hosts answered the look-up", len(sources))
}

func (d *directory) lookup(ctx context.Context, source string) (lookupResponse, error) {
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
	var response lookupResponse
	resp, err := d.forwarder.RoundTrip(ctx, req, forwarder.NewBody(http.NoBody))
	if err != nil {
		return response, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return response, errors.Errorf("look-up at %s returned status %d", source, resp.StatusCode)
	}
	return response, json.NewDecoder(resp.Body).Decode(&response)
}
