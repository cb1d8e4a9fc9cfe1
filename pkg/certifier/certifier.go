// Package certifier provides the TLS certificate of the port for callers and reloads it when its files change.
package certifier

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// checkInterval is the shortest time between two checks of the files' modification times.
const checkInterval = time.Second

// Certifier provides the certificate that is stored in a certificate file and a key file. It is safe for concurrent
// use.
type Certifier struct {
	certFile string
	keyFile  string

	// mu guards the fields below.
	mu      sync.Mutex
	current *tls.Certificate
	// modifiedAt is the later modification time of the two files when current was loaded.
	modifiedAt time.Time
	// checkedAt is the time of the latest check for changes.
	checkedAt time.Time
}

// New loads the certificate. It fails when a file can't be read or the key does not belong to the certificate.
func New(certFile, keyFile string) (*Certifier, error) {
	c := &Certifier{certFile: certFile, keyFile: keyFile}
	return c, c.reload()
}

// Config returns the TLS configuration of a listener. Each handshake uses the certificate that is current at that time.
func (c *Certifier) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate(), nil },
	}
}

// certificate returns the current certificate. It first reloads changed files if the latest check is at least
// checkInterval ago. If the changed files can't be loaded, the previous certificate stays in use.
func (c *Certifier) certificate() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) >= checkInterval {
		_ = c.reload()
	}
	return c.current
}

// reload loads the certificate if its files have changed. The caller holds mu, except in New.
func (c *Certifier) reload() error {
	c.checkedAt = time.Now()
	modifiedAt := latestModTime(c.certFile, c.keyFile)
	if c.current != nil && modifiedAt.Equal(c.modifiedAt) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "load TLS certificate and key")
	}
	c.current, c.modifiedAt = &pair, modifiedAt
	return nil
}

// latestModTime returns the latest modification time of the files. Files that can't be examined are ignored; the result
// is the zero time when there are no others.
func latestModTime(paths ...string) time.Time {
	var out time.Time
	for _, p := range paths {
		if info, err := os.Stat(p); err == nil && info.ModTime().After(out) {
			out = info.ModTime()
		}
	}
	return out
}
