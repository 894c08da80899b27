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

// handshake returns an error unless client and server accept each other. The client
// also reads a byte, because with TLS 1.3 the server verifies the client's certificate
// after the client has completed the handshake.
func handshake(t *testing.T, client, server *Authenticator) error {
	serverSide, clientSide := net.Pipe()
	defer func() { _ = serverSide.Close() }()
	defer func() { _ = clientSide.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	serverDone := make(chan error, 1)
	go func() {
		conn, _, err := server.ServerCredentials().ServerHandshake(serverSide)
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		_ = serverSide.Close()
		serverDone <- err
	}()
	conn, _, err := client.ClientCredentials().ClientHandshake(ctx, "agent", clientSide)
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	_ = clientSide.Close()
	<-serverDone
	return err
}

// writePEM writes the identity of a to PEM files.
func writePEM(t *testing.T, dir string, a *Authenticator) Files {
	id, err := a.load()
	require.NoError(t, err)
	key, err := x509.MarshalECPrivateKey(id.cert.PrivateKey.(*ecdsa.PrivateKey))
	require.NoError(t, err)
	f := Files{Authority: filepath.Join(dir, "cert.pem"), Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	require.NoError(t, os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: id.cert.Certificate[0]}), 0o600))
	require.NoError(t, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: key}), 0o600))
	return f
}

func TestOtherAuthorityIsRejected(t *testing.T) {
	ours, err := SelfSigned()
	require.NoError(t, err)
	others, err := SelfSigned()
	require.NoError(t, err)
	require.NoError(t, handshake(t, ours, ours))
	require.Error(t, handshake(t, others, ours))
	require.Error(t, handshake(t, ours, others))
}

func TestChangedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	first, err := SelfSigned()
	require.NoError(t, err)
	second, err := SelfSigned()
	require.NoError(t, err)
	a, err := FromFiles(writePEM(t, dir, first))
	require.NoError(t, err)
	require.NoError(t, handshake(t, a, first))
	f := writePEM(t, dir, second)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(f.Key, later, later))
	require.NoError(t, handshake(t, a, second))
	require.Error(t, handshake(t, a, first))
	_, err = FromFiles(Files{Authority: filepath.Join(dir, "nosuch.pem")})
	require.Error(t, err)
}
