package steerer_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/steerer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

func hosts(state tracker.State, zones ...string) []tracker.Host {
	var list []tracker.Host
	for i, zone := range zones {
		list = append(list, tracker.Host{Heartbeat: tracker.Heartbeat{
			ID: tracker.HostID{Name: fmt.Sprintf("h%d-%s", i, state)}, Zone: zone,
			Data: fmt.Sprintf("10.0.%d.%d:80", state, i), State: state,
		}})
	}
	return list
}

func distance(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return time.Second
}

type response struct {
	Hosts []struct {
		Address, Zone string
		Weight        int
	}
}

func decode(is *is.I, data []byte) response {
	var a response
	is.NoErr(json.Unmarshal(data, &a))
	return a
}

func TestResponseListsNearServingHostsFirst(t *testing.T) {
	is := is.New(t)
	all := append(hosts(tracker.Serving, "a", "a", "b", "b", "b"), hosts(tracker.Leaving, "a", "a")...)
	table := steerer.BuildHostTable([]string{"a", "b"}, all, distance, time.Second)
	firstHosts := map[string]int{}
	for i := range 300 {
		got := decode(is, table.Response("a", fmt.Sprintf("w%d", i)))
		is.Equal(len(got.Hosts), 4)
		is.Equal(got.Hosts[0].Zone, "a")
		is.Equal(got.Hosts[1].Zone, "a")
		is.Equal(got.Hosts[2].Zone, "b")
		is.True(got.Hosts[0].Weight > got.Hosts[1].Weight)
		for _, host := range got.Hosts {
			is.True(host.Address[:7] == "10.0.0.") // no leaving host
		}
		firstHosts[got.Hosts[0].Address]++
	}
	is.Equal(len(firstHosts), 2) // workspaces are spread over the zone's hosts
	is.Equal(table.Response("nowhere", "w"), nil)
}

func TestLeavingHostsAreListedWhenNoneIsServing(t *testing.T) {
	is := is.New(t)
	table := steerer.BuildHostTable([]string{"a"}, hosts(tracker.Leaving, "a"), distance, time.Second)
	is.Equal(len(decode(is, table.Response("a", "w")).Hosts), 1)
}

func TestLookUpDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table := steerer.BuildHostTable([]string{"a"}, hosts(tracker.Serving, "a"), distance, time.Second)
	is.Equal(testing.AllocsPerRun(100, func() { table.Response("a", "workspace") }), 0.0)
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	site := func(name string, blocks ...string) *cataloger.Site {
		var list []netip.Prefix
		for _, block := range blocks {
			list = append(list, netip.MustParsePrefix(block))
		}
		return cataloger.NewSite(cataloger.Origin{}, name, "z", list)
	}
	b := steerer.BuildSiteTable([]*cataloger.Site{
		site("wide", "10.0.0.0/8", "2001:db8::/32"),
		site("narrow", "10.1.2.0/24", "2001:db8:1::/48"),
	})
	for address, wanted := range map[string]string{
		"10.9.9.9": "wide", "10.1.2.3": "narrow", "::ffff:10.1.2.3": "narrow",
		"2001:db8:1::7": "narrow", "2001:db8:2::7": "wide",
	} {
		is.Equal(b.Find(netip.MustParseAddr(address)).Name(), wanted)
	}
	is.Equal(b.Find(netip.MustParseAddr("192.0.2.1")), nil)
}
