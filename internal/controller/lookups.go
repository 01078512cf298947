package controller

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	lookupTTL      = 3 * time.Second // callers that comply send requests to a stopping host for at most this long
	maxLookupHosts = 64              // in one look-up answer
)

// lookupAnswers holds the encoded answers to look-ups by region. A region with more
// than maxLookupHosts hosts has several answers; one is chosen at random for each
// look-up.
type lookupAnswers struct {
	byRegion map[string][][]byte
	fallback [][]byte // all hosts, for regions that have none
}

// updateLookups rebuilds the look-up answers from the live hosts that serve
// requests. Hosts that are cut off from all backend servers are left out while others
// of their region are not. Callers get all hosts of their own region, so that others nearby
// remain after the loss of one host or zone.
func (c *Controller) updateLookups(live []tracker.Host) {
	regionAddresses, cutOff := map[string][]string{}, map[string][]string{}
	var all []string
	for _, host := range live {
		if host.State != tracker.Serving || host.Data == "" {
			continue
		}
		region := c.settings.Regions[host.Zone]
		if host.CutOff {
			cutOff[region] = append(cutOff[region], host.Data)
			continue
		}
		regionAddresses[region] = append(regionAddresses[region], host.Data)
		all = append(all, host.Data)
	}
	for region, addresses := range cutOff {
		if len(regionAddresses[region]) == 0 {
			regionAddresses[region] = addresses
			all = append(all, addresses...)
		}
	}
	next := &lookupAnswers{byRegion: map[string][][]byte{}}
	next.fallback = c.encodeLookups(all)
	for region, addresses := range regionAddresses {
		next.byRegion[region] = c.encodeLookups(addresses)
	}
	c.lookups.Store(next)
}

// encodeLookups returns the encoded answers that together hold all addresses.
func (c *Controller) encodeLookups(addresses []string) [][]byte {
	var answers [][]byte
	for _, list := range splitAddresses(addresses) {
		data, err := c.platform.EncodeLookup(list, min(lookupTTL, c.settings.MaxLookupTTL))
		if err != nil {
			klog.ErrorS(err, "encoding look-up answer failed")
			continue
		}
		answers = append(answers, data)
	}
	return answers
}

// splitAddresses sorts the addresses and distributes them over lists of at most
// maxLookupHosts. The lists differ in length by at most one, so that all hosts
// are returned about equally often.
func splitAddresses(addresses []string) [][]string {
	sort.Strings(addresses)
	count := (len(addresses) + maxLookupHosts - 1) / maxLookupHosts
	lists := make([][]string, count)
	for i, address := range addresses {
		lists[i%count] = append(lists[i%count], address)
	}
	return lists
}

func (c *Controller) serveLookup(w http.ResponseWriter, r *http.Request) {
	prepared := c.lookups.Load()
	if prepared == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, region, zone := c.platform.DecodeLookup(r)
	if region == "" {
		region = c.settings.Regions[zone]
	}
	answers := prepared.byRegion[region]
	if len(answers) == 0 {
		answers = prepared.fallback
	}
	if len(answers) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answers[rand.IntN(len(answers))]) // fails only if the caller closed the connection
}
