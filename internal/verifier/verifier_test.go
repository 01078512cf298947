package verifier_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/verifier"
)

// response is one case of testdata/heads.yaml.
type response struct {
	Name, Text     string
	Valid, Library bool
}

func responses(t testing.TB) []response {
	t.Helper()
	data, err := os.ReadFile("testdata/heads.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []response
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for i := range cases {
		cases[i].Text = strings.ReplaceAll(cases[i].Text, "$ID", "")
	}
	return cases
}

// TestClientGetsNoInvalidResponse covers the clients of the store and of other hosts, which
// use this transport.
func TestClientGetsNoInvalidResponse(t *testing.T) {
	for _, c := range responses(t) {
		if c.Library || strings.Contains(c.Name, "trailer") {
			continue // heads of interim responses and trailers never reach these clients
		}
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, c.Text)
					_ = conn.Close()
				}
			}))
			defer server.Close()
			client := &http.Client{Transport: verifier.Transport(&http.Transport{DialContext: verifier.Dial((&net.Dialer{}).DialContext)})}
			defer client.CloseIdleConnections()
			resp, err := client.Get(server.URL)
			if err == nil {
				_ = resp.Body.Close()
			}
			is.Equal(err == nil, c.Valid)
		})
	}
}

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +[1-5][0-9][0-9]( .*)?$`)
	fieldLine  = regexp.MustCompile("^[0-9A-Za-z!#$%&'*+.^_`|~-]+:")
)

// checkAccepted checks that a head that is accepted is one by the grammar, which is read here
// a line at a time. Lines that are folded are allowed as continuations.
func checkAccepted(t *testing.T, data []byte) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
	if err != nil {
		return
	}
	if err := verifier.CheckHead(resp); err != nil {
		if !errors.Is(err, verifier.ErrInvalid) {
			t.Fatalf("%q ends with an unknown error %v", data, err)
		}
		return
	}
	head, _, _ := strings.Cut(strings.ReplaceAll(string(data), "\r\n", "\n"), "\n\n")
	var scanner verifier.HeadScanner
	if _, err := scanner.Scan(data); err == nil && resp.StatusCode >= http.StatusOK && !resp.ProtoAtLeast(1, 1) {
		checkNoEncoding(t, head)
	}
	for i, line := range strings.Split(head, "\n") {
		line = strings.TrimRight(line, " \t\r")
		switch {
		case line == "" && i > 0:
			return // the library takes a line of blanks as the end as well
		case i == 0 && !statusLine.MatchString(line), i == 1 && strings.HasPrefix(line, " "),
			i > 0 && !strings.HasPrefix(line, " ") && !strings.HasPrefix(line, "\t") && !fieldLine.MatchString(line):
			t.Fatalf("%q is taken for a response in spite of its line %q", data, line)
		}
	}
}

// checkNoEncoding checks that a head of HTTP/1.0 has no Transfer-Encoding.
func checkNoEncoding(t *testing.T, head string) {
	t.Helper()
	for _, line := range strings.Split(head, "\n") {
		if strings.Trim(line, " \t\r") == "" {
			return
		}
		if strings.HasPrefix(strings.ToLower(line), "transfer-encoding:") {
			t.Fatalf("%q is taken for a response in spite of its encoding", head)
		}
	}
}

// FuzzHead guards against heads that the protocol does not allow.
func FuzzHead(f *testing.F) {
	for _, c := range responses(f) {
		f.Add([]byte(c.Text))
	}
	f.Fuzz(checkAccepted)
}
