// Package credential derives the fleet's mutual TLS credentials from the fleet secret.
//
// Every process derives the same certificate authority from the secret and issues itself a leaf
// certificate that carries its name. A peer is believed to be who its verified certificate names;
// a name inside a message is never an authentication input.
package credential

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
)

const (
	// minSecretBytes is the shortest secret accepted, in bytes.
	minSecretBytes = 16
	// serverName is the name that every leaf is valid for.
	serverName = "fleet.pistachiovane.internal"
	// leafLifetime bounds a leaf certificate; a process is replaced long before.
	leafLifetime = 90 * 24 * time.Hour
	clockSkew    = time.Hour
)

// Credential issues TLS configurations for one process.
type Credential struct {
	leaf tls.Certificate
	pool *x509.CertPool
}

// New derives credentials for the process with that name. It fails when the secret is too short.
func New(secret []byte, name string, now time.Time) (*Credential, error) {
	if len(secret) < minSecretBytes {
		return nil, errors.Errorf("the fleet secret has %d bytes, at least %d are needed", len(secret), minSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, "pistachiovane fleet authority", ed25519.SeedSize)
	if err != nil {
		return nil, errors.Wrap(err, "derive authority key")
	}
	authorityKey := ed25519.NewKeyFromSeed(seed)
	authority, err := newAuthority(authorityKey)
	if err != nil {
		return nil, err
	}
	leaf, err := newLeaf(authority, authorityKey, name, now)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	return &Credential{leaf: leaf, pool: pool}, nil
}

// ServerConfig returns the configuration of a listener that only takes peers with the fleet's credentials.
func (c *Credential) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.leaf},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.pool,
	}
}

// ClientConfig returns the configuration for calls to another process of the fleet.
func (c *Credential) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.leaf},
		RootCAs:      c.pool,
		ServerName:   serverName,
	}
}

// PeerName returns the name in the verified certificate of a connection; empty when there is none.
func PeerName(state tls.ConnectionState) string {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

func newAuthority(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "pistachiovane fleet"},
		NotBefore:             time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:              time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	cert, err := x509.ParseCertificate(der)
	return cert, errors.Wrap(err, "parse authority certificate")
}

func newLeaf(authority *x509.Certificate, authorityKey ed25519.PrivateKey, name string, now time.Time) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate leaf key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "draw serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{serverName},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(leafLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, authorityKey)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "create leaf certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}
