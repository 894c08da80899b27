// Package authenticator makes the TLS credentials with which egretwall's
// processes authenticate each other.
//
// Usage:
//
//	a, err := authenticator.FromFiles(authenticator.Files{Authority: "ca.pem", Certificate: "cert.pem", Key: "key.pem"})
//	server := grpc.NewServer(grpc.Creds(a.Server()))
//	client := linker.NewClient(linker.ClientConfig{Credentials: a.Client()})
//
// Both sides show a certificate of the same authority. Files are read again
// when they change.
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

// Files names PEM files.
type Files struct {
	Authority   string `json:"authority"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Authenticator holds a certificate and the authority that it trusts.
type Authenticator struct {
	load func() (identity, error)
}

type identity struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// FromFiles returns an authenticator that follows changes of its files.
func FromFiles(files Files) (*Authenticator, error) {
	c := &cache{files: files}
	if _, err := c.load(); err != nil {
		return nil, err
	}
	return &Authenticator{load: c.load}, nil
}

// cache holds the identity of the files' last change.
type cache struct {
	files Files
	mu    sync.Mutex
	at    time.Time
	last  identity
}

func (c *cache) load() (identity, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newest time.Time
	for _, name := range []string{c.files.Authority, c.files.Certificate, c.files.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return c.last, classifier.Wrap(classifier.Invalid, err, "read certificate file")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	if newest.Equal(c.at) {
		return c.last, nil
	}
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return c.last, classifier.Wrap(classifier.Invalid, err, "load certificate and key")
	}
	pem, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return c.last, classifier.Wrap(classifier.Invalid, err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return c.last, classifier.New(classifier.Invalid, "%s holds no certificate", c.files.Authority)
	}
	c.last, c.at = identity{cert, pool}, newest
	return c.last, nil
}

const (
	demoLife   = 24 * time.Hour
	serialBits = 62
)

// SelfSigned returns an authenticator with a new authority that nobody else has.
func SelfSigned() (*Authenticator, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "make key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "make serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "egretwall"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(demoLife),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "make certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, classifier.Wrap(classifier.Internal, err, "parse certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	id := identity{tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, pool}
	return &Authenticator{load: func() (identity, error) { return id, nil }}, nil
}

// ServerCredentials returns credentials for accepting connections.
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
				Certificates: []tls.Certificate{id.cert}, ClientCAs: id.pool, ClientAuth: tls.RequireAndVerifyClientCert,
			}, nil
		},
	})
}

// ClientCredentials returns credentials for opening connections. Addresses are IP numbers
// of instances that come and go, so the authority is checked and no name.
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

func (a *Authenticator) verifyServer(cs tls.ConnectionState) error {
	id, err := a.load()
	if err != nil {
		return err
	}
	rest := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		rest.AddCert(c)
	}
	_, err = cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: id.pool, Intermediates: rest, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
