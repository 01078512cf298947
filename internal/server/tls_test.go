package server_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/server"
	"magnoliahill.example/magnoliahill/pkg/header"
)

func tlsClient(protocol string) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(protocol == "HTTP/1.1")
	protocols.SetHTTP2(protocol == "HTTP/2.0")
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, // the test makes its own certificate
		Protocols:       protocols,
	}}
}

// Guards against a planned stop that cuts off a response that is being streamed
// over TLS, by HTTP/1.1 or HTTP/2.
func TestPlannedStopFinishesStreamsOverTLS(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		t.Run(protocol, func(t *testing.T) {
			is := is.New(t)
			certificate, key := server.WriteCertificate(t, t.TempDir(), "orders.example", time.Now())
			release := make(chan struct{})
			h := startHostWith(t, "certificate: "+certificate+", key-file: "+key, backendServers,
				startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "first\n")
					_ = http.NewResponseController(w).Flush()
					<-release
					_, _ = io.WriteString(w, "last\n")
				}))
			client := tlsClient(protocol)
			request := func() (*http.Response, error) {
				r, err := http.NewRequest(http.MethodGet, "https://"+h.dataAddress+"/stock", nil)
				is.NoErr(err)
				r.Header.Set(header.Key, testKey)
				r.Header.Set(header.Service, "orders")
				return client.Do(r)
			}
			resp, err := request()
			is.NoErr(err)
			is.Equal(resp.Proto, protocol)
			reader := bufio.NewReader(resp.Body)
			_, err = reader.ReadString('\n')
			is.NoErr(err)
			h.server.Stop()
			for {
				conn, err := net.Dial("tcp", h.dataAddress)
				if err != nil {
					break // the listener is closed
				}
				_ = conn.Close()
			}
			close(release)
			line, err := reader.ReadString('\n')
			is.NoErr(err)
			is.Equal(line, "last\n")
			_ = resp.Body.Close()
			client.CloseIdleConnections()
			is.NoErr(<-h.done)
		})
	}
}
