package dispatcher

import (
	"testing"

	"github.com/matryer/is"
)

func TestHostNameHasNoPort(t *testing.T) {
	is := is.New(t)
	for field, want := range map[string]string{
		"shop": "shop", "shop:80": "shop", "10.0.0.1:80": "10.0.0.1", "[::1]:80": "::1", "[::1]": "::1", "::1": "::1", "": "",
	} {
		is.Equal(hostName(field), want)
	}
}
