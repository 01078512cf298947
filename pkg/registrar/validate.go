package registrar

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	maxNameBytes = 253            // of an id, service or zone; they appear in headers and log lines
	maxSlots     = 1 << 20        // sums over all backend servers stay far below what a number holds
	maxColdTime  = 24 * time.Hour // backend servers warm up within seconds to minutes
)

// Validate returns an error that names the first value of the registration that no
// backend server can have. Such a registration names no server to use.
func (i Instance) Validate() error {
	for _, field := range []struct{ name, value string }{{"id", i.id}, {"service", i.service}, {"zone", i.zone}} {
		if field.value == "" || len(field.value) > maxNameBytes || strings.ContainsFunc(field.value, unprintable) {
			return errors.Errorf("%s %.40q is not a name of 1 to %d printable characters", field.name, field.value, maxNameBytes)
		}
	}
	address, err := netip.ParseAddrPort(i.address)
	switch {
	case err != nil || address.Port() == 0:
		return errors.Errorf("address %.60q is not an IP address with a port from 1 to 65535", i.address)
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return errors.Errorf("address %.60q is not that of a host", i.address)
	case i.slots > maxSlots:
		return errors.Errorf("%d slots are more than %d", i.slots, maxSlots)
	case i.coldRemaining < 0 || i.coldRemaining > maxColdTime:
		return errors.Errorf("a cold time of %s is not from 0 to %s", i.coldRemaining, maxColdTime)
	}
	return nil
}

// unprintable reports whether a character is not a printable one of ASCII other than the
// space, so that a header could not carry it unchanged.
func unprintable(c rune) bool { return c <= ' ' || c > '~' }
