// Package credential derives the fleet's mutual TLS credentials from the fleet secret.
//
// Every process derives the key of the same certificate authority from the secret and issues itself a leaf certificate
// with its own name. A peer is identified only by the name in its verified certificate, never by a name inside a
// message.
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
	// minSecretBytes is the length of the shortest secret that New accepts.
	minSecretBytes = 16
	// serverName is the DNS name that every leaf certificate is valid for.
	serverName = "fleet.pistachiovane.internal"
	// leafLifetime is the validity of a leaf certificate. Processes are replaced long before it expires.
	leafLifetime = 90 * 24 * time.Hour
	// clockSkew is the time by which a leaf certificate's validity begins before its creation, so that VMs whose clocks
	// are behind accept it.
	clockSkew = time.Hour
)

// Credential provides the TLS configurations of one process.
type Credential struct {
	leaf tls.Certificate
	// pool holds the certificate of the fleet's authority, which has signed every valid leaf certificate.
	pool *x509.CertPool
}

// New derives the credentials of the process with the given name from the fleet secret. The leaf certificate is valid
// from one hour before now to 90 days after it. New fails when the secret is shorter than 16 bytes.
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

// ServerConfig returns the configuration of a listener that accepts only clients with a certificate of the fleet.
func (c *Credential) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.leaf},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.pool,
	}
}

// ClientConfig returns the configuration for connections to another process of the fleet.
func (c *Credential) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.leaf},
		RootCAs:      c.pool,
		ServerName:   serverName,
	}
}

// PeerName returns the name in the verified certificate of the other side of a connection, or an empty string when the
// connection has no verified certificate.
func PeerName(state tls.ConnectionState) string {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}

// newAuthority returns the self-signed certificate of the fleet's authority. All its fields but the key are constant.
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

// newLeaf generates a key pair and returns its certificate, signed by the authority and with the name as common name.
// It is valid for both servers and clients.
func newLeaf(
	authority *x509.Certificate, authorityKey ed25519.PrivateKey, name string, now time.Time,
) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate leaf key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate serial number")
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
