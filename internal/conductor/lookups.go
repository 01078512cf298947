package conductor

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	lookupTTL      = 3 * time.Second // a stopping host is asked for at most this long by callers that keep to it
	maxLookupHosts = 64              // an answer names no more
)

// lookups holds the answers to look-ups, made ahead for each region. A region of
// many hosts has several that are given in turn.
type lookups struct {
	regions map[string][][]byte
	other   [][]byte // for regions that have no host
}

// steer makes the answers: callers get the hosts of their own region, so that
// the loss of one host or zone leaves them others nearby.
func (c *Conductor) steer(live []tracker.Host) {
	byRegion := map[string][]string{}
	var all []string
	for _, host := range live {
		if host.State != tracker.Serving || host.Data == "" {
			continue
		}
		region := c.settings.Regions[host.Zone]
		byRegion[region] = append(byRegion[region], host.Data)
		all = append(all, host.Data)
	}
	next := &lookups{regions: map[string][][]byte{}}
	next.other = c.encodeLookups(all)
	for region, addresses := range byRegion {
		next.regions[region] = c.encodeLookups(addresses)
	}
	c.lookups.Store(next)
}

func (c *Conductor) encodeLookups(addresses []string) [][]byte {
	var answers [][]byte
	for _, named := range split(addresses) {
		data, err := c.platform.EncodeLookup(named, min(lookupTTL, c.settings.MaxLookupTTL))
		if err != nil {
			klog.ErrorS(err, "look-up answer could not be made")
			continue
		}
		answers = append(answers, data)
	}
	return answers
}

// split returns the addresses in lists that an answer can hold, about equally
// long, so that all hosts are named equally often.
func split(addresses []string) [][]string {
	sort.Strings(addresses)
	count := (len(addresses) + maxLookupHosts - 1) / maxLookupHosts
	lists := make([][]string, count)
	for i, address := range addresses {
		lists[i%count] = append(lists[i%count], address)
	}
	return lists
}

func (c *Conductor) serveLookup(w http.ResponseWriter, r *http.Request) {
	table := c.lookups.Load()
	if table == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, region, zone := c.platform.DecodeLookup(r)
	if region == "" {
		region = c.settings.Regions[zone]
	}
	answers := table.regions[region]
	if len(answers) == 0 {
		answers = table.other
	}
	if len(answers) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answers[rand.IntN(len(answers))]) // the caller is gone if this fails
}
