// Package certifier holds the TLS certificate of the caller's port and reads it again when its files change.
package certifier

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval bounds how often the files are looked at.
const checkInterval = time.Second

// Certifier serves the certificate in a pair of files.
type Certifier struct {
	certFile string
	keyFile  string

	mu      sync.Mutex
	current *tls.Certificate
	// modifiedAt is the later modification time of the pair that is served.
	modifiedAt time.Time
	checkedAt  time.Time
}

// New reads the pair. It fails when it can't be read or does not fit.
func New(certFile, keyFile string) (*Certifier, error) {
	c := &Certifier{certFile: certFile, keyFile: keyFile}
	return c, c.reload()
}

// Config returns the TLS configuration of a listener.
func (c *Certifier) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate(), nil },
	}
}

// certificate returns the newest pair; one that can't be read leaves the last good one in use.
func (c *Certifier) certificate() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) >= checkInterval {
		_ = c.reload()
	}
	return c.current
}

func (c *Certifier) reload() error {
	c.checkedAt = time.Now()
	modifiedAt := latestModTime(c.certFile, c.keyFile)
	if c.current != nil && modifiedAt.Equal(c.modifiedAt) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "read certificate")
	}
	c.current, c.modifiedAt = &pair, modifiedAt
	return nil
}

// latestModTime returns the latest modification time of the files.
func latestModTime(paths ...string) time.Time {
	var out time.Time
	for _, p := range paths {
		if info, err := os.Stat(p); err == nil && info.ModTime().After(out) {
			out = info.ModTime()
		}
	}
	return out
}
