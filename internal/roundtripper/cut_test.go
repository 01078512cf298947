package roundtripper_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/internal/roundtripper"
)

// Guards against responses that end early and are passed on as whole.
func TestResponseCutAfterAnyByteIsNotWhole(t *testing.T) {
	var cases []struct {
		Name, Text string
		Ends       bool
	}
	readCases(t, "cuts.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			body := strings.Index(c.Text, "hello")
			for cut := range len(c.Text) + 1 {
				address, _ := script{texts: []string{c.Text[:cut]}, closes: true}.serve(t)
				rt := roundtripper.New(headerNames, 10)
				resp, err := rt.RoundTrip(t.Context(), roundtripper.Target{Address: address, Instance: "i"}, newRequest(http.MethodPost, "b"))
				whole := err == nil && resp.Rest == nil
				switch {
				case cut == len(c.Text) && (!whole || string(resp.Body) != "hello world"):
					t.Errorf("the whole response is not taken: %v", err)
				case cut < len(c.Text) && whole && !(c.Ends && cut >= body):
					t.Errorf("cut after %d of %d bytes it is taken as whole: status %d, body %q", cut, len(c.Text), resp.Status, resp.Body)
				}
				address, _ = script{texts: []string{c.Text[:cut]}, resets: true}.serve(t)
				resp, err = rt.RoundTrip(t.Context(), roundtripper.Target{Address: address, Instance: "i"}, newRequest(http.MethodPost, "b"))
				if err == nil && (cut < len(c.Text) || c.Ends) {
					t.Errorf("reset after %d of %d bytes it is taken as whole: status %d, body %q", cut, len(c.Text), resp.Status, resp.Body)
				}
				rt.Close()
			}
		})
	}
}

// Guards against long bodies, of which the beginning has been passed on, that end early
// without an error.
func TestLongBodyCutAnywhereEndsWithAnError(t *testing.T) {
	const size = 300 << 10
	filler := strings.Repeat("x", size)
	chunk := "8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
	for name, text := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Signature: s\r\nContent-Length: 307200\r\n\r\n" + filler,
		"chunked":       "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 10) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			cuts := []int{len(text)}
			for near := range 10 {
				cuts = append(cuts, len(text)-1-near, len(text)/2+near, 64<<10+near, 256<<10+near)
			}
			for _, cut := range cuts {
				address, _ := script{texts: []string{text[:cut]}, closes: true}.serve(t)
				rt := roundtripper.New(headerNames, 10)
				resp, err := rt.RoundTrip(t.Context(), roundtripper.Target{Address: address, Instance: "i"}, newRequest(http.MethodPost, "b"))
				if err == nil && resp.Rest != nil {
					_, err = io.Copy(io.Discard, resp.Rest)
					_ = resp.Rest.Close()
				}
				if whole := err == nil; whole != (cut == len(text)) {
					t.Errorf("cut after %d of %d bytes: taken as whole: %v", cut, len(text), whole)
				}
				rt.Close()
			}
		})
	}
}
