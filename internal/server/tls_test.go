package server_test

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/marker"
)

// certificateFiles writes a certificate for a name and its key.
func certificateFiles(t *testing.T, dir, name string) (string, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := [2]string{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")}
	for i, block := range []*pem.Block{{Type: "CERTIFICATE", Bytes: der}, {Type: "EC PRIVATE KEY", Bytes: raw}} {
		if err := os.WriteFile(files[i], pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files[0], files[1]
}

func tlsClient(protocol string) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(protocol == "HTTP/1.1")
	protocols.SetHTTP2(protocol == "HTTP/2.0")
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, // the test makes its own certificate
		Protocols:       protocols,
	}}
}

// A planned stop lets a stream over HTTP/2 go on to its end, and takes no new
// one.
func TestPlannedStopFinishesStreamsOverTLS(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/2.0"} {
		t.Run(protocol, func(t *testing.T) {
			is := is.New(t)
			certificate, key := certificateFiles(t, t.TempDir(), "orders.example")
			release := make(chan struct{})
			h := startWith(t, "certificate: "+certificate+", key-file: "+key, backendServers,
				backendOf(t, func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "first\n")
					_ = http.NewResponseController(w).Flush()
					<-release
					_, _ = io.WriteString(w, "last\n")
				}))
			client := tlsClient(protocol)
			request := func() (*http.Response, error) {
				r, err := http.NewRequest(http.MethodGet, "https://"+h.data+"/stock", nil)
				is.NoErr(err)
				r.Header.Set(marker.Key, testKey)
				r.Header.Set(marker.Service, "orders")
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
				conn, err := net.Dial("tcp", h.data)
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
