package server

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

const certificateCheckInterval = 5 * time.Second

// certificate is the TLS certificate of the data listener. It is reloaded when
// its file changes, so that it can be replaced without a restart.
type certificate struct {
	file, keyFile string
	mu            sync.Mutex
	current       *tls.Certificate
	modifiedAt    time.Time
	checkedAt     time.Time
}

func loadCertificate(file, keyFile string) (*certificate, error) {
	c := &certificate{file: file, keyFile: keyFile}
	return c, c.reloadIfChanged(time.Now())
}

// reloadIfChanged loads the certificate unless its file is unchanged. After an
// error the current certificate stays in use.
func (c *certificate) reloadIfChanged(now time.Time) error {
	c.checkedAt = now
	info, err := os.Stat(c.file)
	if err != nil {
		return errors.Wrapf(err, "certificate %s could not be read", c.file)
	}
	if info.ModTime().Equal(c.modifiedAt) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.file, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "certificate %s and key %s could not be loaded", c.file, c.keyFile)
	}
	c.current = &pair
	c.modifiedAt = info.ModTime()
	return nil
}

func (c *certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) > certificateCheckInterval {
		if err := c.reloadIfChanged(now); err != nil {
			klog.ErrorS(err, "certificate could not be reloaded; keeping the current one", "file", c.file)
		}
	}
	return c.current, nil
}

func (c *certificate) config() *tls.Config {
	return &tls.Config{GetCertificate: c.getCertificate, MinVersion: tls.VersionTLS12}
}
