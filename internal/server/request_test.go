package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sort"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

// Each file contains a raw request, lines that the head of the response must
// contain, and lines that the backend server must have received. The section
// "absent" lists text that the backend server must not have received anywhere.
func TestRawRequests(t *testing.T) {
	files, err := filepath.Glob("testdata/requests/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	received := make(chan string, 10)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- dumpRequest(r)
		_, _ = io.WriteString(w, "done\n")
	}))
	defer backend.Close()
	h := startHost(t, "open-routes: [/open]\n"+backendServers, backend.Listener.Addr().String())
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			if err != nil {
				t.Fatal(err)
			}
			sections := map[string]string{}
			for _, f := range archive.Files {
				sections[f.Name] = string(f.Data)
			}
			head := sendRaw(t, h.dataAddress, sections["request"])
			expectLines(t, "answer", head, sections["answer"])
			got := ""
			select {
			case got = <-received:
			default:
			}
			if sections["backend"] == "" && got != "" {
				t.Errorf("the backend server received\n%s", got)
			}
			expectLines(t, "backend server", got, sections["backend"])
			for _, line := range lines(sections["absent"]) {
				if strings.Contains(got, line) {
					t.Errorf("the backend server received %q in\n%s", line, got)
				}
			}
		})
	}
}

func lines(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == '\n' })
}

// expectLines checks that a text contains each of the wanted lines.
func expectLines(t *testing.T, where, got, wanted string) {
	t.Helper()
	for _, line := range lines(wanted) {
		if !strings.Contains(got, line) {
			t.Errorf("%s: no %q in\n%s", where, line, got)
		}
	}
}

// sendRaw sends raw bytes and returns the head of the response.
func sendRaw(t *testing.T, address, raw string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw = strings.ReplaceAll(strings.ReplaceAll(raw, "\n", "\r\n"), "KEY", testKey)
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var b strings.Builder
	fmt.Fprintln(&b, resp.Status)
	_ = resp.Header.Write(&b)
	return b.String()
}

// dumpRequest returns all that a backend server receives, including trailers.
func dumpRequest(r *http.Request) string {
	body, _ := io.ReadAll(r.Body)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s\nHost: %s\n", r.Method, r.RequestURI, r.Host)
	for _, header := range []http.Header{r.Header, r.Trailer} {
		var names []string
		for name := range header {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Fprintf(&b, "%s: %s\n", name, strings.Join(header[name], ", "))
		}
	}
	fmt.Fprintf(&b, "body %q\n", body)
	return b.String()
}
