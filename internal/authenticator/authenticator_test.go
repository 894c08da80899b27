package authenticator

import (
	"context"
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// handshake tells whether client and server accept each other.
func handshake(t *testing.T, client, server *Authenticator) error {
	a, b := net.Pipe()
	defer func() { _ = a.Close() }()
	defer func() { _ = b.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answered := make(chan error, 1)
	go func() {
		conn, _, err := server.ServerCredentials().ServerHandshake(a)
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		_ = a.Close()
		answered <- err
	}()
	conn, _, err := client.ClientCredentials().ClientHandshake(ctx, "agent", b)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	_ = b.Close()
	<-answered
	return err
}

// files writes the identity of a to PEM files.
func files(t *testing.T, dir string, a *Authenticator) Files {
	id, err := a.load()
	require.NoError(t, err)
	secret, err := x509.MarshalECPrivateKey(id.cert.PrivateKey.(*ecdsa.PrivateKey))
	require.NoError(t, err)
	f := Files{Authority: filepath.Join(dir, "cert.pem"), Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	require.NoError(t, os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: id.cert.Certificate[0]}), 0o600))
	require.NoError(t, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}), 0o600))
	return f
}

func TestStrangersAreRefused(t *testing.T) {
	ours, err := SelfSigned()
	require.NoError(t, err)
	strangers, err := SelfSigned()
	require.NoError(t, err)
	require.NoError(t, handshake(t, ours, ours))
	require.Error(t, handshake(t, strangers, ours))
	require.Error(t, handshake(t, ours, strangers))
}

func TestChangedFilesAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	first, err := SelfSigned()
	require.NoError(t, err)
	second, err := SelfSigned()
	require.NoError(t, err)
	a, err := FromFiles(files(t, dir, first))
	require.NoError(t, err)
	require.NoError(t, handshake(t, a, first))
	f := files(t, dir, second)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(f.Key, later, later))
	require.NoError(t, handshake(t, a, second))
	require.Error(t, handshake(t, a, first))
	_, err = FromFiles(Files{Authority: filepath.Join(dir, "nosuch.pem")})
	require.Error(t, err)
}
