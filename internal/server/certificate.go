package server

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

const certificateCheck = 5 * time.Second

// certificate is the TLS certificate of the callers' listener. It is read again
// when its file changes, so that it can be replaced without a stop.
type certificate struct {
	file, keyFile string
	mu            sync.Mutex
	loaded        *tls.Certificate
	modified      time.Time
	checked       time.Time
}

func loadCertificate(file, keyFile string) (*certificate, error) {
	c := &certificate{file: file, keyFile: keyFile}
	return c, c.load(time.Now())
}

func (c *certificate) load(now time.Time) error {
	c.checked = now
	info, err := os.Stat(c.file)
	if err != nil {
		return errors.Wrapf(err, "certificate %s could not be read", c.file)
	}
	if info.ModTime().Equal(c.modified) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.file, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "certificate %s and key %s do not fit", c.file, c.keyFile)
	}
	c.loaded = &pair
	c.modified = info.ModTime()
	return nil
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checked) > certificateCheck {
		if err := c.load(now); err != nil {
			klog.ErrorS(err, "certificate is kept as it was", "file", c.file)
		}
	}
	return c.loaded, nil
}

func (c *certificate) config() *tls.Config {
	return &tls.Config{GetCertificate: c.get, MinVersion: tls.VersionTLS12}
}
