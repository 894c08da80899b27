// Package authenticator provides the mutual TLS credentials of egretwall's processes.
//
// Usage:
//
//	a, err := authenticator.FromFiles(authenticator.Files{Authority: "ca.pem", Certificate: "cert.pem", Key: "key.pem"})
//	server := grpc.NewServer(grpc.Creds(a.ServerCredentials()))
//	client := linker.NewClient(linker.ClientConfig{Credentials: a.ClientCredentials()})
//
// Client and server must each present a certificate of the authority that the other one
// trusts. Certificate files are reloaded when they change.
package authenticator

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/egretwall/egretwall/internal/classifier"
)

// Files holds the paths of PEM files.
type Files struct {
	Authority   string `json:"authority"`   // certificates of the trusted authorities
	Certificate string `json:"certificate"` // certificate chain of the process
	Key         string `json:"key"`         // private key of the certificate
}

// Authenticator provides TLS credentials for both ends of a connection.
type Authenticator struct {
	load func() (identity, error)
}

// identity is a certificate with its key and the authorities that peers are checked
// against.
type identity struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// FromFiles returns an authenticator that loads its certificates from files and reloads
// them when they change. The error is of kind Invalid if the files can't be loaded.
func FromFiles(files Files) (*Authenticator, error) {
	c := &identityCache{files: files}
	if _, err := c.load(); err != nil {
		return nil, err
	}
	return &Authenticator{load: c.load}, nil
}

// identityCache holds the identity that was last loaded from files.
type identityCache struct {
	files   Files
	mu      sync.Mutex
	modTime time.Time // latest modification time of the files when they were loaded
	current identity
}

// load returns the identity in the files, which it reads only if one of them was
// modified. With an error, it returns the identity that was last loaded.
func (c *identityCache) load() (identity, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var modTime time.Time
	for _, path := range []string{c.files.Authority, c.files.Certificate, c.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return c.current, classifier.Wrap(classifier.Invalid, err, "read certificate file")
		}
		if info.ModTime().After(modTime) {
			modTime = info.ModTime()
		}
	}
	if modTime.Equal(c.modTime) {
		return c.current, nil
	}
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return c.current, classifier.Wrap(classifier.Invalid, err, "load certificate and key")
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return c.current, classifier.Wrap(classifier.Invalid, err, "read certificate of the authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return c.current, classifier.New(classifier.Invalid, "%s contains no certificate", c.files.Authority)
	}
	c.current, c.modTime = identity{cert, roots}, modTime
	return c.current, nil
}

const (
	selfSignedValidity = 24 * time.Hour
	serialBits         = 62 // of the random serial number
)

// SelfSigned returns an authenticator with a new self-signed certificate, the only one
// that it trusts. It exists in memory only and is valid for 24 hours.
func SelfSigned() (*Authenticator, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "generate serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "egretwall"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(selfSignedValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "create certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "parse certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	id := identity{tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, roots}
	return &Authenticator{load: func() (identity, error) { return id, nil }}, nil
}

// ServerCredentials returns credentials for accepting connections. Clients must present
// a certificate of the authority.
func (a *Authenticator) ServerCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			id, err := a.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
				Certificates: []tls.Certificate{id.cert}, ClientCAs: id.roots, ClientAuth: tls.RequireAndVerifyClientCert,
			}, nil
		},
	})
}

// ClientCredentials returns credentials for opening connections. The server must present
// a certificate of the authority, but its name is not checked, since addresses are IP
// addresses of instances that come and go.
func (a *Authenticator) ClientCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			id, err := a.load()
			return &id.cert, err
		},
		VerifyConnection: a.verifyServer,
	})
}

// verifyServer checks that a server's certificate chain leads to the authority.
func (a *Authenticator) verifyServer(cs tls.ConnectionState) error {
	id, err := a.load()
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: id.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
