package conductor

import (
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

// lookups holds the answers to look-ups, made ahead for each region.
type lookups struct {
	regions map[string][]byte
	other   []byte // for regions that have no host
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
	next := &lookups{regions: map[string][]byte{}}
	next.other = c.encodeLookup(all)
	for region, addresses := range byRegion {
		next.regions[region] = c.encodeLookup(addresses)
	}
	c.lookups.Store(next)
}

func (c *Conductor) encodeLookup(addresses []string) []byte {
	if len(addresses) == 0 {
		return nil
	}
	sort.Strings(addresses)
	if len(addresses) > maxLookupHosts {
		addresses = addresses[:maxLookupHosts]
	}
	data, err := c.platform.EncodeLookup(addresses, min(lookupTTL, c.settings.MaxLookupTTL))
	if err != nil {
		klog.ErrorS(err, "look-up answer could not be made")
		return nil
	}
	return data
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
	answer := table.regions[region]
	if answer == nil {
		answer = table.other
	}
	if answer == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer) // the caller is gone if this fails
}
