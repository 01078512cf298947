package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// WriteCertificate writes a certificate for a name and its key into a folder,
// with the given modification time, and returns the paths of both files.
func WriteCertificate(t *testing.T, dir, name string, modified time.Time) (certificate, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{
		"c.pem": {Type: "CERTIFICATE", Bytes: der}, "k.pem": {Type: "EC PRIVATE KEY", Bytes: raw},
	} {
		path := filepath.Join(dir, file)
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
}

// Guards against a replaced certificate that is used only after a restart, and
// against a malformed file that takes the current certificate out of use.
func TestChangedCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	modified := time.Unix(1_800_000_000, 0)
	_, _ = WriteCertificate(t, dir, "first", modified)
	c, err := loadCertificate(filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem"))
	is.NoErr(err)
	name := func() string {
		is.True(c.current != nil)
		parsed, err := x509.ParseCertificate(c.current.Certificate[0])
		is.NoErr(err)
		return parsed.Subject.CommonName
	}
	is.Equal(name(), "first")
	_, _ = WriteCertificate(t, dir, "second", modified.Add(time.Minute))
	is.NoErr(c.reloadIfChanged(modified))
	is.Equal(name(), "second")
	is.NoErr(os.WriteFile(filepath.Join(dir, "c.pem"), []byte("broken"), 0o600))
	is.True(c.reloadIfChanged(modified) != nil)
	is.Equal(name(), "second")
	_, err = loadCertificate(filepath.Join(dir, "none.pem"), filepath.Join(dir, "k.pem"))
	is.True(err != nil)
}
