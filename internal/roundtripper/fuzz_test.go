package roundtripper_test

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
)

// pipeDialer connects to a backend server that reads one request, writes bytes and closes
// the connection.
type pipeDialer []byte

func (d pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() {
		defer func() { _ = remote.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(remote))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = remote.Write(d)
	}()
	return local, nil
}

// checkResponse checks that what a caller would get of a response to the request "b" is
// that of this request, and that only a refusal is taken for one.
func checkResponse(t *testing.T, data []byte) {
	t.Helper()
	rt := roundtripper.New(headerNames, 10, roundtripper.WithDialer(pipeDialer(data)))
	defer rt.Close()
	resp, err := rt.RoundTrip(t.Context(), roundtripper.Target{Address: "server:80", Instance: "i"}, newRequest(http.MethodPost, "b"))
	var shed *roundtripper.ShedError
	switch {
	case errors.As(err, &shed):
		if ids := shed.Header().Values(headerNames.RequestID); shed.Header().Get(headerNames.NotRun) == "" || len(ids) > 1 || len(ids) == 1 && ids[0] != "b" && ids[0] != "" {
			t.Fatalf("%q is taken for a refusal of this request", data)
		}
	case errors.Is(err, roundtripper.ErrUnreachable):
		t.Fatalf("%q is taken for an unreachable server", data)
	case err == nil:
		if resp.Rest != nil {
			_ = resp.Rest.Close()
		}
		if resp.Status < 200 || resp.Status > 599 {
			t.Fatalf("%q is taken for a response with status %d", data, resp.Status)
		}
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t\x00\x01\x7f") {
				t.Fatalf("%q is taken for a response with a field %q", data, name)
			}
		}
		signed := resp.Header.Get(headerNames.ResponseStamp) != ""
		if resp.Status < 300 && !signed || signed && resp.Header.Get(headerNames.RequestID) != "b" {
			t.Fatalf("%q is taken for a response to this request", data)
		}
	case !errors.Is(err, roundtripper.ErrBadResponse) && !errors.Is(err, forwarder.ErrMismatched) && !errors.Is(err, roundtripper.ErrMisdirected):
		t.Fatalf("%q ends with an unknown error %v", data, err)
	}
}

// responseSeeds returns the responses of the data files.
func responseSeeds(t testing.TB) [][]byte {
	t.Helper()
	var seeds [][]byte
	for _, file := range []string{"cuts.yaml", "repeats.yaml", "../../verifier/testdata/heads.yaml"} {
		var cases []struct{ Text, Again string }
		readCases(t, file, &cases)
		for _, c := range cases {
			text := strings.ReplaceAll(c.Text+c.Again, "$ID", "X-Id: b\r\nX-Signature: s\r\n")
			seeds = append(seeds, []byte(text))
		}
	}
	return seeds
}

// FuzzResponse guards against bytes of a backend server that end the process or reach a
// caller to whose request they do not belong.
func FuzzResponse(f *testing.F) {
	for _, data := range responseSeeds(f) {
		f.Add(data)
	}
	f.Fuzz(checkResponse)
}

func TestResponseMutations(t *testing.T) {
	seeds := responseSeeds(t)
	random := rand.New(rand.NewPCG(32, 4))
	for range 3000 {
		one, other := seeds[random.IntN(len(seeds))], seeds[random.IntN(len(seeds))]
		cut, from := random.IntN(len(one)), random.IntN(len(other))
		checkResponse(t, append(append([]byte{}, one[:cut]...), other[from:]...))
	}
}
